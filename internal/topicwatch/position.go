package topicwatch

// Position is a place in the log of a topic.
type Position struct {
	// Era is how many times the store had come back from a copy. Offsets of different eras
	// cannot be compared: the store gives them out again.
	Era int64 `json:"era,omitempty"`
	// Offset is the number of the record.
	Offset int64 `json:"offset"`
}

// before reports whether a record at p was written before one at q.
func (p Position) before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Offset < q.Offset
}
