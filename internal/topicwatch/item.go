package topicwatch

// Item is a record of a topic. A record with an empty value removes its key.
type Item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
	// Era is the era of Offset, if another instance sent the record; a page of the store has
	// only records of its own era.
	Era int64 `json:"era,omitempty"`
}

func (i Item) position() Position { return Position{Era: i.Era, Offset: i.Offset} }
