package usage

// Section is the part of an instance's witness record that has its counts.
type Section struct {
	// Start is the random number of the run of the process that wrote the section.
	Start uint64 `json:"start"`
	// Own are the counts of that run.
	Own byWindow `json:"own"`
	// Earlier are the counts of earlier runs, as far as that run knows them.
	Earlier byWindow `json:"earlier,omitempty"`
}
