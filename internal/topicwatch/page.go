package topicwatch

// Page is the result of a list or a read. The next read starts at offset Next.
type Page struct {
	// AgeMS is how long ago the store confirmed the records, in ms, if another instance
	// served the read; 0 if the store did.
	AgeMS int64  `json:"age_ms,omitempty"`
	Items []Item `json:"items"`
	Next  int64  `json:"next"`
	// Era is the era of Next.
	Era int64 `json:"era,omitempty"`
}

// end returns the position of Next.
func (p Page) end() Position { return Position{Era: p.Era, Offset: p.Next} }

// inOwnEra returns the page with the era set in its records.
func (p Page) inOwnEra() Page {
	items := make([]Item, len(p.Items))
	for i, it := range p.Items {
		it.Era = p.Era
		items[i] = it
	}
	p.Items = items
	return p
}
