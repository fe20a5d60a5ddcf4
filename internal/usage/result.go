package usage

// Result has the counts of a window over all instances.
type Result struct {
	Window int64
	Counts Counts
	// Busy is how many requests of the instances that answered run on average, by service and data
	// centre.
	Busy map[string]map[string]float64
	// Unknown are the instances whose counts are missing or may be incomplete.
	Unknown []string
	// Witnessed are the instances whose counts, or those of whose earlier run, are from witnesses.
	Witnessed []string
}
