package assignment

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// plan is the working state of one Plan call.
type plan struct {
	view       *controlstate.View
	options    Options
	pools      map[string]*pool
	byInstance map[string]*upstream
	// moves is the number of homes that this plan may still take from live upstreams.
	moves   int
	entries []record.HomeAssignment
}

// target is a model or adapter checkpoint to place.
type target struct {
	checkpoint string
	hash       uint64
	memory     int64
	// max limits the active and releasing homes together.
	max  int
	pool *pool
	old  controlstate.Homes
}

// Plan returns the next changes of the recorded homes, or none if there is nothing
// to change. Each entry is valid when applied to v. It may take several plans to
// reach the desired homes: former homes must be released first, and MaxMoves limits
// each plan. A home that needs no move stays where it is, so a change of members
// causes few moves.
func Plan(v *controlstate.View, o Options) []record.HomeAssignment {
	p := &plan{view: v, options: o.WithDefaults()}
	p.moves = p.options.MaxMoves
	p.pools, p.byInstance = pools(v)
	models := slices.Sorted(maps.Keys(v.Models.Map()))
	p.sumMemory(models)
	homes := make(map[string][]record.InstanceRef, len(models))
	// Models without a home go first, so that other models cannot use up the moves.
	for _, withoutHome := range []bool{true, false} {
		for _, id := range models {
			m, _ := v.Models.Get(id)
			t := p.modelTarget(id, m)
			if p.hasNoHome(t) == withoutHome {
				homes[id] = p.placeModel(t)
			}
		}
	}
	p.placeAdapters(homes)
	p.clearDeleted()
	return p.entries
}

func (p *plan) modelTarget(id string, m config.Model) target {
	old, _ := p.view.Homes.Get(id)
	pl := p.pools[m.Pool]
	if pl == nil {
		pl = &pool{}
	}
	maxReplicas := max(1, m.MaxReplicas, m.MinReplicas)
	return target{checkpoint: id, hash: xxhash.Sum64String(id), memory: m.MemoryMiB, max: min(maxReplicas, p.view.MaxReplicas(id)), pool: pl, old: old}
}

// sumMemory sums, for each pool, the memory that the configuration requests
// and, for each upstream, the memory of its current model homes.
func (p *plan) sumMemory(models []string) {
	for _, id := range models {
		m, _ := p.view.Models.Get(id)
		pl := p.pools[m.Pool]
		if pl == nil {
			continue
		}
		pl.largest = max(pl.largest, m.MemoryMiB)
		pl.requested += m.MemoryMiB * int64(min(p.view.MaxReplicas(id), len(pl.upstreams)))
		h, _ := p.view.Homes.Get(id)
		for _, ref := range h.Active {
			if u := p.eligible(ref); u != nil {
				u.load += m.MemoryMiB
			}
		}
	}
}

// eligible returns the upstream of ref, or nil if that incarnation is not live
// or its data centre is out.
func (p *plan) eligible(ref record.InstanceRef) *upstream {
	u := p.byInstance[ref.Instance]
	if u == nil || u.ref != ref {
		return nil
	}
	return u
}

func (p *plan) hasNoHome(t target) bool {
	return !slices.ContainsFunc(t.old.Active, func(ref record.InstanceRef) bool { return p.eligible(ref) != nil })
}

// placeModel plans the homes of a model and returns them.
func (p *plan) placeModel(t target) []record.InstanceRef {
	var keep []record.InstanceRef
	for _, ref := range t.old.Active {
		if len(keep) < t.max && p.keepsHome(t, ref, keep) {
			keep = append(keep, ref)
		}
	}
	releasing := len(t.old.Releasing) + len(t.old.Active) - len(keep)
	for len(keep)+releasing < t.max {
		u := p.choose(t, t.pool.upstreams, keep)
		if u == nil {
			break
		}
		u.load += t.memory
		keep = append(keep, u.ref)
	}
	p.emit(t, keep)
	return keep
}

// keepsHome reports whether the model keeps its home ref. Taking a home from a
// live upstream uses up a move; when none is left the home stays.
func (p *plan) keepsHome(t target, ref record.InstanceRef, kept []record.InstanceRef) bool {
	u := p.eligible(ref)
	live, ok := p.view.Members.Get(ref.Instance)
	if !ok || live.Incarnation != ref.Incarnation {
		return false
	}
	if u != nil && !p.shouldMove(t, u, kept) {
		return true
	}
	if p.moves == 0 {
		return true
	}
	p.moves--
	if u != nil {
		u.load -= t.memory
	}
	return false
}

// shouldMove reports whether the home at u should move. It should if another
// upstream has room, and either u exceeds the load bound, or the model has another
// home in u's data centre and none in that of the other upstream.
func (p *plan) shouldMove(t target, u *upstream, kept []record.InstanceRef) bool {
	limit := p.limit(t)
	overBound := u.load > t.pool.bound(p.options.Slack)
	sharesDC := slices.ContainsFunc(kept, func(ref record.InstanceRef) bool { return p.byInstance[ref.Instance].sameDC(u) })
	if !overBound && !sharesDC {
		return false
	}
	for _, c := range t.pool.upstreams {
		if c == u || c.load+t.memory > limit || slices.Contains(t.old.Active, c.ref) {
			continue
		}
		if overBound || !p.anyInDC(t.old.Active, c.dc) {
			return true
		}
	}
	return false
}

func (u *upstream) sameDC(other *upstream) bool { return u != nil && u.dc == other.dc }

func (p *plan) anyInDC(refs []record.InstanceRef, dc string) bool {
	return slices.ContainsFunc(refs, func(ref record.InstanceRef) bool {
		u := p.eligible(ref)
		return u != nil && u.dc == dc
	})
}

// limit returns the load that an upstream should not exceed by taking another home.
func (p *plan) limit(t target) int64 { return t.pool.bound(p.options.Slack) }

// choose returns the upstream for one more home, or nil if there is none.
// Upstreams that stay within the load bound go first; among them the one whose
// data centre has the fewest homes of the checkpoint, then the one with the
// highest rendezvous score. If all would exceed the bound, the order is fewest
// homes in the data centre, then least loaded.
func (p *plan) choose(t target, candidates []*upstream, taken []record.InstanceRef) *upstream {
	perDC := make(map[string]int)
	for _, ref := range taken {
		if u := p.byInstance[ref.Instance]; u != nil {
			perDC[u.dc]++
		}
	}
	limit := p.limit(t)
	var best *upstream
	var bestRank rank
	for _, u := range candidates {
		if slices.Contains(taken, u.ref) || slices.Contains(t.old.Active, u.ref) || slices.Contains(t.old.Releasing, u.ref) {
			continue
		}
		r := rank{over: u.load+t.memory > limit, load: u.load, dc: perDC[u.dc], score: u.score(t.hash)}
		if best == nil || r.before(bestRank) {
			best, bestRank = u, r
		}
	}
	return best
}

// rank is the sort key of a candidate for a home.
type rank struct {
	over  bool
	load  int64
	dc    int
	score uint64
}

func (r rank) before(o rank) bool {
	switch {
	case r.over != o.over:
		return o.over
	case r.dc != o.dc:
		return r.dc < o.dc
	case r.over && r.load != o.load:
		return r.load < o.load
	default:
		return r.score > o.score
	}
}

func (p *plan) emit(t target, homes []record.InstanceRef) {
	if !slices.Equal(homes, t.old.Active) {
		p.entries = append(p.entries, record.HomeAssignment{Checkpoint: t.checkpoint, Base: t.old.Offset, Homes: homes})
	}
}
