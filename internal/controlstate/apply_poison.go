package controlstate

import (
	"fmt"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// applyCrash records the crash for every request that was in flight at the time,
// except for requests that are already quarantined.
func (v *View) applyCrash(c record.PoisonCrash) ApplyResult {
	if len(c.Digests) > MaxCrashDigests {
		return rejected(fmt.Sprintf("%d digests, the maximum is %d", len(c.Digests), MaxCrashDigests))
	}
	for _, digest := range c.Digests {
		s, _ := v.Suspects.Get(digest)
		if s.Quarantined() || slices.Contains(s.CrashIDs, c.CrashID) {
			continue
		}
		s.CrashIDs = append(slices.Clone(s.CrashIDs), c.CrashID)
		s.Offset = v.Offset
		v.Suspects = v.Suspects.With(digest, s)
		if v.Suspects.Len() > MaxSuspects {
			v.Suspects = evictSuspect(v.Suspects)
		}
	}
	return applied()
}

// applyCleared removes requests from the suspects, except quarantined ones.
func (v *View) applyCleared(c record.PoisonCleared) ApplyResult {
	for _, digest := range c.Digests {
		s, ok := v.Suspects.Get(digest)
		if !ok || s.Quarantined() {
			continue
		}
		v.Suspects = v.Suspects.Without(digest)
	}
	return applied()
}
