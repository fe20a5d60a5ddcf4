package assignment

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// upstream is the engine of a live agent that may take homes.
type upstream struct {
	ref  record.InstanceRef
	dc   string
	hash uint64
	// load is the memory of the homes at the upstream, in MiB.
	load int64
}

// score returns the rendezvous score of the upstream for a checkpoint's hash.
func (u *upstream) score(checkpoint uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], u.hash)
	binary.LittleEndian.PutUint64(key[8:], checkpoint)
	return xxhash.Sum64(key[:])
}

// pool is the group of upstreams among which a model is placed.
type pool struct {
	upstreams []*upstream
	// requested is the memory of all homes that the configuration asks for, in
	// MiB. It does not change while homes move, so the bound stays constant.
	requested int64
	// largest is the memory of the largest model, in MiB.
	largest int64
	dcs     int
}

// bound returns the load above which homes are moved off an upstream, and which
// a new home should not exceed. It is at least the mean plus the largest model,
// because a small fleet can only balance whole models.
func (p *pool) bound(slack float64) int64 {
	if len(p.upstreams) == 0 {
		return 0
	}
	mean := float64(p.requested) / float64(len(p.upstreams))
	return max(int64(mean*(1+slack)), int64(mean)+p.largest)
}

// pools returns the upstreams that may take homes, by pool and by instance.
func pools(v *controlstate.View) (map[string]*pool, map[string]*upstream) {
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
		p.sortAndCountDCs()
	}
	return byPool, byInstance
}

func (p *pool) sortAndCountDCs() {
	slices.SortFunc(p.upstreams, func(x, y *upstream) int { return strings.Compare(x.ref.Instance, y.ref.Instance) })
	seenDCs := make(map[string]bool)
	for _, u := range p.upstreams {
		seenDCs[u.dc] = true
	}
	p.dcs = len(seenDCs)
}
