package budget

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// entry is an entry instance that may own shares.
type entry struct {
	incarnation string
	addr        string
	hash        uint64
}

// liveEntries returns the entry instances in the view, sorted by incarnation. It
// skips the data centres that are configured as out, because operators usually
// remove their machines soon after. If all data centres are out, it skips none.
func liveEntries(v *controlstate.View) []entry {
	var enabled, all []entry
	for _, m := range v.Members.All() {
		if m.Role != record.RoleEntry {
			continue
		}
		e := entry{m.Incarnation, m.PeerAddr, xxhash.Sum64String(m.Incarnation)}
		all = append(all, e)
		if dc, ok := v.DataCentres.Get(m.DataCentre); !ok || dc.In() {
			enabled = append(enabled, e)
		}
	}
	if len(enabled) == 0 {
		enabled = all
	}
	slices.SortFunc(enabled, func(a, b entry) int { return strings.Compare(a.incarnation, b.incarnation) })
	return enabled
}

// diffEntries returns the entries that only next has, and the incarnations that
// only old has. Both arguments must be sorted by incarnation.
func diffEntries(old, next []entry) (added []entry, removed map[string]bool) {
	removed = make(map[string]bool)
	i := 0
	for _, e := range next {
		for i < len(old) && old[i].incarnation < e.incarnation {
			removed[old[i].incarnation] = true
			i++
		}
		if i < len(old) && old[i].incarnation == e.incarnation {
			i++
			continue
		}
		added = append(added, e)
	}
	for ; i < len(old); i++ {
		removed[old[i].incarnation] = true
	}
	return added, removed
}
