package usage

// Section is the part of an instance's witness record that has its counts. Each run of the instance has
// a record of its own.
type Section struct {
	// Start is the random number of the run of the process that wrote the section.
	Start uint64 `json:"start"`
	// Own are the counts of that run.
	Own byWindow `json:"own"`
}
