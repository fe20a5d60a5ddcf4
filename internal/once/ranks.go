package once

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/cow"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// candidates is the number of writers that a client tries in turn. With two
// lost at once the third still answers.
const candidates = 3

// ranks orders the live entry instances of a view per partition by rendezvous
// hash. It recomputes the order only when the members or data centres change.
type ranks struct {
	mu      sync.Mutex
	members *cow.Table[fold.Member]
	centres *cow.Table[config.DataCentre]
	first   [][]fold.Member
}

func newRanks(partitions int) *ranks { return &ranks{first: make([][]fold.Member, partitions)} }

// of returns the candidates of a partition, best first.
func (r *ranks) of(v *fold.View, partition int) []fold.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members != v.Members || r.centres != v.DataCentres {
		r.members = v.Members
		r.centres = v.DataCentres
		entries := liveEntries(v)
		for i := range r.first {
			r.first[i] = RankCandidates(entries, Stream(i))
		}
	}
	return r.first[partition]
}

// liveEntries leaves out data centres that take no new work.
func liveEntries(v *fold.View) []fold.Member {
	var out []fold.Member
	for _, m := range v.Members.All() {
		dc, _ := v.DataCentres.Get(m.DataCentre)
		if m.Role == record.RoleEntry && dc.In() {
			out = append(out, m)
		}
	}
	return out
}

// RankCandidates returns the candidates for the writer of a stream among the given entry
// instances, best first by rendezvous hash.
func RankCandidates(entries []fold.Member, stream string) []fold.Member {
	type scored struct {
		fold.Member
		score uint64
	}
	list := make([]scored, len(entries))
	for i, m := range entries {
		list[i] = scored{m, xxhash.Sum64String(stream + "\x00" + m.Instance + "\x00" + m.Incarnation)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Instance, b.Instance))
	})
	var out []fold.Member
	for _, s := range list[:min(candidates, len(list))] {
		out = append(out, s.Member)
	}
	return out
}
