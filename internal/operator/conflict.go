package operator

import (
	"fmt"

	"github.com/jacinthbend/jacinthbend/internal/audit"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Conflict describes why a publication was refused: its base is no longer the
// current version. None of its changes took effect.
type Conflict struct {
	// Base is the version on which the refused publication was based.
	Base backing.Offset `json:"base"`
	// Version is the current version.
	Version backing.Offset `json:"version"`
	// Winner is the first change applied after Base. It is nil if the history
	// no longer holds that change.
	Winner *audit.Entry `json:"winner,omitempty"`
	// Difference lists what changed from Base to Version, with the last change
	// of each entry.
	Difference []record.EntryChange `json:"difference,omitempty"`
	// Complete reports whether Difference holds every change from Base to
	// Version.
	Complete bool `json:"complete"`
	// Overlap lists the entries, as section/id, that both the publication and
	// Difference change.
	Overlap []string `json:"overlap,omitempty"`
}

// Error implements error.
func (c *Conflict) Error() string {
	if c.Winner == nil {
		return fmt.Sprintf("the change is based on version %d, but version %d is in force", c.Base, c.Version)
	}
	return fmt.Sprintf("the change is based on version %d, but %s published version %d first; version %d is in force",
		c.Base, c.Winner.Author, c.Winner.Offset, c.Version)
}

// newConflict returns the conflict between changes, which are based on base, and
// the changes that were applied from base to version. If history is nil, the
// conflict has no Winner, Difference or Overlap.
func newConflict(base, version backing.Offset, changes []record.EntryChange, history History) *Conflict {
	c := &Conflict{Base: base, Version: version}
	if history == nil {
		return c
	}
	entries, complete := history.Since(base)
	for i, e := range entries {
		if !e.Applied || e.Offset > version {
			continue
		}
		// The history may lag behind the view and lack the newest change.
		c.Complete = complete && e.Offset == version
		if c.Winner == nil && complete {
			c.Winner = &entries[i]
		}
		c.Difference = mergeChanges(c.Difference, e.Changes)
	}
	c.Overlap = overlappingEntries(changes, c.Difference)
	return c
}

// mergeChanges concatenates both lists, but leaves out each change in older whose
// entry also changes in newer.
func mergeChanges(older, newer []record.EntryChange) []record.EntryChange {
	var out []record.EntryChange
	for _, c := range older {
		if !containsEntry(newer, c) {
			out = append(out, c)
		}
	}
	return append(out, newer...)
}

// overlappingEntries returns the entries, as section/id, that both lists change.
func overlappingEntries(a, b []record.EntryChange) []string {
	var out []string
	for _, c := range a {
		if containsEntry(b, c) {
			out = append(out, string(c.Section)+"/"+c.ID)
		}
	}
	return out
}

func containsEntry(changes []record.EntryChange, c record.EntryChange) bool {
	for _, other := range changes {
		if other.Section == c.Section && other.ID == c.ID {
			return true
		}
	}
	return false
}
