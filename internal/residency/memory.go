package residency

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// reserve sets memory aside for r and moves it to queued, evicting idle
// checkpoints if need be. A replica of unknown outcome keeps its reservation.
func (a *Manager) reserve(ctx context.Context, r *replica, spare bool) error {
	s, err := a.spec(r.checkpoint)
	if err != nil {
		return err
	}
	for {
		victims, wait, reserved := a.tryReserve(r, s.memory, spare)
		if reserved {
			return nil
		}
		if len(victims) == 0 && !wait {
			return errkind.New(errkind.MemoryFull, fmt.Sprintf("no room for the %d MiB of %s", s.memory, r.checkpoint))
		}
		for _, v := range victims {
			a.unload(ctx, v)
			v.endOp()
		}
		if err := sleep(ctx, a.Config.PollInterval); err != nil {
			return unmet(r.checkpoint, err)
		}
	}
}

// tryReserve reserves the memory, or returns closed victims whose op the
// caller holds, or reports that memory is about to become free.
func (a *Manager) tryReserve(r *replica, need int64, spare bool) (victims []*replica, wait, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.state == unknown {
		return nil, false, true
	}
	taken, leaving := a.taken()
	free := a.memory() - taken
	if need <= free || a.off.noReserve {
		a.fire(r, want)
		r.reserved = need
		return nil, false, true
	}
	if spare || need > a.memory() {
		return nil, false, false
	}
	victims = a.chooseVictims(r, need-free)
	return victims, leaving || len(victims) == 0 && a.stopPreloads(r), false
}

// stopPreloads makes queued preloads give their memory back to r's wake and
// reports whether there are any.
func (a *Manager) stopPreloads(r *replica) (found bool) {
	if r.wake.yields() {
		return false
	}
	for _, c := range a.all() {
		if c != r && c.state == queued && c.wake.yields() {
			c.wake.stop()
			found = true
		}
	}
	return found
}

// taken returns the memory reserved, in MiB, and whether some of it is about
// to become free.
func (a *Manager) taken() (mib int64, leaving bool) {
	for _, r := range a.all() {
		mib += r.reserved
		leaving = leaving || r.state == unloading || r.state == unknown
	}
	return mib, leaving
}

// candidate is a group that is unloaded together: an adapter, or a base model
// with its adapters.
type candidate struct {
	// members are in unload order, adapters first.
	members []*replica
	memory  int64
	// worth is the worth of keeping the group, per MiB.
	worth float64
}

// chooseVictims closes the idle groups of the least worth that free at least
// `missing` MiB. It closes none if all idle groups together are too small.
func (a *Manager) chooseVictims(r *replica, missing int64) []*replica {
	groups := a.idleGroups(r)
	slices.SortFunc(groups, func(x, y candidate) int {
		if x.worth != y.worth {
			if x.worth < y.worth {
				return -1
			}
			return 1
		}
		return compareCheckpoints(x.members[0], y.members[0])
	})
	var out []*replica
	for _, g := range groups {
		if missing <= 0 {
			break
		}
		closed, freed := a.closeGroup(g)
		out = append(out, closed...)
		missing -= freed
	}
	return out
}

// idleGroups lists what may be evicted in favour of r: never r's base model
// and never a replica with a request in flight.
func (a *Manager) idleGroups(r *replica) []candidate {
	var out []candidate
	for _, c := range a.all() {
		if c == r || c.checkpoint == r.base || c.state != loaded || c.inUse() > 0 {
			continue
		}
		if g, ok := a.group(c); ok {
			out = append(out, g)
		}
	}
	return out
}

func (a *Manager) group(c *replica) (candidate, bool) {
	g := candidate{}
	for _, child := range a.all() {
		if child.base != c.checkpoint || child.state == absent {
			continue
		}
		if child.state != loaded || child.inUse() > 0 {
			return candidate{}, false
		}
		g.members = append(g.members, child)
	}
	slices.SortFunc(g.members, compareCheckpoints)
	g.members = append(g.members, c)
	for _, m := range g.members {
		g.memory += m.reserved
		g.worth += a.worth(m)
	}
	g.worth /= float64(max(1, g.memory))
	return g, true
}

// worth is the reload cost that keeping m is expected to save per second: its
// value times its size, over the time until its next use. The learned mean gap
// or the idle time so far estimates that time, whichever is longer.
func (a *Manager) worth(m *replica) float64 {
	next := max(time.Second, m.idle(), m.warmth.Mean(a.Config.KeepWarm))
	return float64(1+max(0, m.value)) * float64(max(1, m.reserved)) / next.Seconds()
}

// closeGroup closes the members that are still idle, in unload order. It stops
// at the first that is not, so a base model outlives its adapters.
func (a *Manager) closeGroup(g candidate) (closed []*replica, freed int64) {
	for _, m := range g.members {
		if !m.tryOp() {
			return closed, freed
		}
		if m.state != loaded || !m.closeIdle() {
			m.endOp()
			return closed, freed
		}
		closed = append(closed, m)
		freed += m.reserved
	}
	return closed, freed
}

// children counts the adapters of r that are not absent.
func (a *Manager) children(r *replica) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, c := range a.all() {
		if c.base == r.checkpoint && c.state != absent {
			n++
		}
	}
	return n
}

func compareCheckpoints(x, y *replica) int {
	switch {
	case x.checkpoint < y.checkpoint:
		return -1
	case x.checkpoint > y.checkpoint:
		return 1
	default:
		return 0
	}
}
