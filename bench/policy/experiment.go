package policy

// Experiment is a set of independent runs and the report on their results.
type Experiment struct {
	// Jobs are the runs; each must be called in a synctest bubble of its own.
	Jobs []func()
	// Report summarizes the results. It must be called after all jobs have ended.
	Report func() Report
}

// Report is the result of an experiment.
type Report struct {
	Title string
	// Text says what was run and how to read the table.
	Text  string
	Table Table
	Plot  BarChart
}

// Table is a Markdown table.
type Table struct {
	Head []string
	Rows [][]string
}

// BarChart is a bar chart with one group of bars per label.
type BarChart struct {
	// File is the name of the PNG file.
	File   string
	YLabel string
	Labels []string
	Series []Series
}

// Series is a named sequence of values: one bar in each group.
type Series struct {
	Name   string
	Values []float64
}
