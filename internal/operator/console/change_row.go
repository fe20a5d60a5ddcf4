package console

// changeRow is one row of a table of changes. Before and After are JSON, empty if
// the entry does not exist.
type changeRow struct {
	Name   string
	Before string
	After  string
}
