package topic

// Page is the answer to a list or a read. Reading goes on at Next.
type Page struct {
	Items []Item `json:"items"`
	Next  int64  `json:"next"`
}
