package atmostonce

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// maxCandidates is the number of writers that a client tries in turn. If two of
// them fail at once, the third still answers.
const maxCandidates = 3

// candidateCache ranks the live entry instances of a view for each partition by
// rendezvous hash. It recomputes the ranking only when the members or data
// centres of the view change.
type candidateCache struct {
	mu          sync.Mutex
	members     *cowmap.Table[controlstate.Member]
	dataCentres *cowmap.Table[config.DataCentre]
	byPartition [][]controlstate.Member
}

func newCandidateCache(partitions int) *candidateCache {
	return &candidateCache{byPartition: make([][]controlstate.Member, partitions)}
}

// forPartition returns the candidates of a partition, best first.
func (c *candidateCache) forPartition(v *controlstate.View, partition int) []controlstate.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members != v.Members || c.dataCentres != v.DataCentres {
		c.members = v.Members
		c.dataCentres = v.DataCentres
		entries := liveEntries(v)
		for i := range c.byPartition {
			c.byPartition[i] = RankCandidates(entries, Stream(i))
		}
	}
	return c.byPartition[partition]
}

// liveEntries returns the entry instances except those in data centres that take no new work.
func liveEntries(v *controlstate.View) []controlstate.Member {
	var out []controlstate.Member
	for _, m := range v.Members.All() {
		dc, _ := v.DataCentres.Get(m.DataCentre)
		if m.Role == record.RoleEntry && dc.In() {
			out = append(out, m)
		}
	}
	return out
}

// RankCandidates returns the candidates for the writer of a stream among the
// given entry instances, best first by rendezvous hash.
func RankCandidates(entries []controlstate.Member, stream string) []controlstate.Member {
	type scored struct {
		controlstate.Member
		score uint64
	}
	list := make([]scored, len(entries))
	for i, m := range entries {
		list[i] = scored{m, xxhash.Sum64String(stream + "\x00" + m.Instance + "\x00" + m.Incarnation)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Instance, b.Instance))
	})
	var out []controlstate.Member
	for _, s := range list[:min(maxCandidates, len(list))] {
		out = append(out, s.Member)
	}
	return out
}
