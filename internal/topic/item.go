package topic

// Item is the newest record of a key. An empty value removes the key.
type Item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}
