package usage

// Result has the counts of a window over all instances.
type Result struct {
	Window int64
	Counts Counts
	// Unknown are the instances whose counts are missing or may be incomplete.
	Unknown []string
	// Witnessed are the instances whose counts, or those of whose earlier run, are from witnesses.
	Witnessed []string
}
