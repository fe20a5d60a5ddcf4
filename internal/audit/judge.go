package audit

import (
	"fmt"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Judge returns the entries of the control records, oldest first, where the
// verdicts of the fold are not at hand. The version is the one in force after
// the last record. Each applied change names the version before it as its
// base, so the applied ones are the chain that leads back from the version;
// every other change is void.
func Judge(records []platform.Record, version platform.Offset) []Entry {
	var entries []Entry
	base := make(map[platform.Offset]platform.Offset)
	for _, r := range records {
		envelope, err := record.Decode(r.Data)
		if err != nil {
			continue
		}
		entry, ok := FromRecord(r.Offset, envelope, fold.ApplyResult{Applied: true})
		if ok {
			entries = append(entries, entry)
			base[entry.Offset] = entry.Base
		}
	}
	applied := make(map[platform.Offset]bool)
	// Bases lie before the change, so the chain ends even for a false record.
	for v, ok := version, true; ok; {
		applied[v] = true
		next, known := base[v]
		ok = known && next < v
		v = next
	}
	inForce := platform.Offset(0)
	for i := range entries {
		e := &entries[i]
		e.Applied = applied[e.Offset]
		if e.Applied {
			inForce = e.Offset
			continue
		}
		e.Void = voidReason(*e, inForce)
	}
	return entries
}

func voidReason(e Entry, inForce platform.Offset) string {
	if inForce > 0 && e.Base != inForce {
		return fmt.Sprintf("based on version %d, but version %d was in force", e.Base, inForce)
	}
	return "void by a rule of the fold"
}
