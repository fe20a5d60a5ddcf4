package topicwatch

// Item is a record of a topic. A record with an empty value removes its key.
type Item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}
