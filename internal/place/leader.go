// Package place plans which upstreams are homes of which models and adapters.
// The plan is a function of the view; correctness rests on the fold, so two
// planners at once waste appends and do no harm.
package place

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Leader returns the live entry instance that comes first in the hash order of
// the given duty, and false if there is none. Entry instances in data centres
// that are out come after all others.
func Leader(v *fold.View, duty string) (fold.Member, bool) {
	var best fold.Member
	var bestKey uint64
	bestOut, found := false, false
	for _, m := range v.Members.All() {
		if m.Role != record.RoleEntry {
			continue
		}
		dc, known := v.DataCentres.Get(m.DataCentre)
		out := known && !dc.In()
		key := xxhash.Sum64String(duty + "/" + m.Incarnation)
		if !found || bestOut && !out || bestOut == out && key < bestKey {
			best, bestKey, bestOut, found = m, key, out, true
		}
	}
	return best, found
}
