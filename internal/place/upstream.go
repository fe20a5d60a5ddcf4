package place

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// upstream is a live agent's engine that may take homes.
type upstream struct {
	ref  record.InstanceRef
	dc   string
	hash uint64
	// load is the memory of the homes at the upstream, in MiB.
	load int64
}

// score is the rendezvous score of the upstream for a checkpoint.
func (u *upstream) score(checkpoint uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], u.hash)
	binary.LittleEndian.PutUint64(key[8:], checkpoint)
	return xxhash.Sum64(key[:])
}

// pool is the group of upstreams among which a model is placed.
type pool struct {
	upstreams []*upstream
	// wanted is the memory of all homes that the configuration asks for, in MiB.
	// It does not change while homes move, so neither does the bound.
	wanted int64
	// largest is the memory of the largest model, in MiB.
	largest int64
	dcs     int
}

// bound is the load above which an upstream gives homes away, and which a new
// home may not exceed. One model more than the mean is always allowed,
// because a small fleet cannot balance better than by whole models.
func (p *pool) bound(slack float64) int64 {
	if len(p.upstreams) == 0 {
		return 0
	}
	mean := float64(p.wanted) / float64(len(p.upstreams))
	return max(int64(mean*(1+slack)), int64(mean)+p.largest)
}

// pools returns the upstreams that may take homes, by pool and by instance.
func pools(v *fold.View) (map[string]*pool, map[string]*upstream) {
	byPool := make(map[string]*pool)
	byInstance := make(map[string]*upstream)
	for _, m := range v.Members.All() {
		dc, known := v.DataCentres.Get(m.DataCentre)
		if m.Role != record.RoleAgent || known && !dc.In() {
			continue
		}
		u := &upstream{ref: m.Ref(), dc: m.DataCentre, hash: xxhash.Sum64String(m.Instance)}
		byInstance[m.Instance] = u
		if byPool[m.Pool] == nil {
			byPool[m.Pool] = &pool{}
		}
		byPool[m.Pool].upstreams = append(byPool[m.Pool].upstreams, u)
	}
	for _, p := range byPool {
		p.finish()
	}
	return byPool, byInstance
}

func (p *pool) finish() {
	slices.SortFunc(p.upstreams, func(x, y *upstream) int { return strings.Compare(x.ref.Instance, y.ref.Instance) })
	seen := make(map[string]bool)
	for _, u := range p.upstreams {
		seen[u.dc] = true
	}
	p.dcs = len(seen)
}
