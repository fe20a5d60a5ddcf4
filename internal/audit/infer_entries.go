package audit

import (
	"fmt"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// InferEntries returns the entries for control records whose verdicts are not
// known, oldest first. version is the configuration version after the last record.
// The base of every applied change is the version before it. InferEntries therefore
// follows the bases backwards from version: the changes on this chain were applied,
// and all others had no effect.
func InferEntries(records []backing.Record, version backing.Offset) []Entry {
	var entries []Entry
	bases := make(map[backing.Offset]backing.Offset)
	for _, r := range records {
		envelope, err := record.Decode(r.Data)
		if err != nil {
			continue
		}
		entry, ok := FromRecord(r.Offset, envelope, controlstate.ApplyResult{Applied: true})
		if ok {
			entries = append(entries, entry)
			bases[entry.Offset] = entry.Base
		}
	}
	applied := make(map[backing.Offset]bool)
	// A base must be lower than its change, so the loop ends even if a record is
	// malformed.
	for v, ok := version, true; ok; {
		applied[v] = true
		next, known := bases[v]
		ok = known && next < v
		v = next
	}
	current := backing.Offset(0)
	for i := range entries {
		e := &entries[i]
		e.Applied = applied[e.Offset]
		if e.Applied {
			current = e.Offset
			continue
		}
		e.Void = voidReason(*e, current)
	}
	return entries
}

func voidReason(e Entry, current backing.Offset) string {
	if current > 0 && e.Base != current {
		return fmt.Sprintf("based on version %d, but version %d was in force", e.Base, current)
	}
	return "void by a rule of the fold"
}
