package topicwatch

// Page is the result of a list or a read. The next read starts at offset Next.
type Page struct {
	Items []Item `json:"items"`
	Next  int64  `json:"next"`
}
