package topicwatch

// Page is the result of a list or a read. The next read starts at offset Next.
type Page struct {
	// AgeMS is how long ago the store confirmed the records, in ms, if another instance
	// served the read; 0 if the store did.
	AgeMS int64  `json:"age_ms,omitempty"`
	Items []Item `json:"items"`
	Next  int64  `json:"next"`
	// Era is how many times the store had come back from a copy when it confirmed the
	// records. Offsets of different eras cannot be compared: the store gives them out again.
	Era int64 `json:"era,omitempty"`
}
