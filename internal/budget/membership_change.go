package budget

// membershipChange is the difference between the entry instances of two views.
type membershipChange struct {
	// entries are the entry instances of the later view.
	entries []entry
	added   []entry
	removed map[string]bool
}

func (c membershipChange) changed() bool { return len(c.added) > 0 || len(c.removed) > 0 }
