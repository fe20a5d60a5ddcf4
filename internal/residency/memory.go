package residency

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// reserve reserves memory for r and moves it to queued. If necessary it evicts
// idle checkpoints. A replica of unknown outcome keeps its reservation.
func (m *Manager) reserve(ctx context.Context, r *replica, noEvict bool) error {
	s, err := m.spec(r.checkpoint)
	if err != nil {
		return err
	}
	for {
		victims, wait, reserved := m.tryReserve(r, s.memoryMiB, noEvict)
		if reserved {
			return nil
		}
		if len(victims) == 0 && !wait {
			return errkind.New(errkind.MemoryFull, fmt.Sprintf("not enough engine memory for the %d MiB of %s", s.memoryMiB, r.checkpoint))
		}
		for _, v := range victims {
			m.unload(ctx, v)
			v.unlockOp()
		}
		if err := sleep(ctx, m.Config.PollInterval); err != nil {
			return deadlineUnmet(r.checkpoint, err)
		}
	}
}

// tryReserve reserves the memory for r. If there is not enough, it returns victims
// that the caller must unload, closed and with their opLocks held, and sets wait if
// memory is about to become free.
func (m *Manager) tryReserve(r *replica, need int64, noEvict bool) (victims []*replica, wait, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.state == unknown {
		return nil, false, true
	}
	reserved, freeing := m.reservedMemory()
	free := m.usableMemoryMiB() - reserved
	if need <= free || m.overrides.ignoreMemoryLimit {
		m.fire(r, wantLoad)
		r.reserved = need
		return nil, false, true
	}
	if noEvict || need > m.usableMemoryMiB() {
		return nil, false, false
	}
	victims = m.chooseVictims(r, need-free)
	return victims, freeing || len(victims) == 0 && m.stopPreloads(r), false
}

// stopPreloads stops the queued preloads, so that the load of r can use their
// memory, and reports whether there were any.
func (m *Manager) stopPreloads(r *replica) (found bool) {
	if r.pending.preemptible() {
		return false
	}
	for _, c := range m.allReplicas() {
		if c != r && c.state == queued && c.pending.preemptible() {
			c.pending.stop()
			found = true
		}
	}
	return found
}

// reservedMemory returns the reserved memory, in MiB, and whether some of it may be
// about to become free.
func (m *Manager) reservedMemory() (mib int64, freeing bool) {
	for _, r := range m.allReplicas() {
		mib += r.reserved
		freeing = freeing || r.state == unloading || r.state == unknown
	}
	return mib, freeing
}

// evictionGroup holds replicas that are unloaded together: an adapter, or a base
// model with its adapters.
type evictionGroup struct {
	// members are in unload order, adapters first.
	members []*replica
	memory  int64
	// benefitPerMiB is the benefit of keeping the group loaded, per MiB.
	benefitPerMiB float64
}

// chooseVictims closes idle groups in ascending order of benefit until they free
// at least `missing` MiB or no idle group is left.
func (m *Manager) chooseVictims(r *replica, missing int64) []*replica {
	groups := m.idleGroups(r)
	slices.SortFunc(groups, func(x, y evictionGroup) int {
		if x.benefitPerMiB != y.benefitPerMiB {
			if x.benefitPerMiB < y.benefitPerMiB {
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
		closed, freed := m.closeGroup(g)
		out = append(out, closed...)
		missing -= freed
	}
	return out
}

// idleGroups lists the groups that may be evicted for r. They contain neither r's
// base model nor a replica with a request in flight.
func (m *Manager) idleGroups(r *replica) []evictionGroup {
	var out []evictionGroup
	for _, c := range m.allReplicas() {
		if c == r || c.checkpoint == r.base || c.state != loaded || c.useCount() > 0 {
			continue
		}
		if g, ok := m.group(c); ok {
			out = append(out, g)
		}
	}
	return out
}

func (m *Manager) group(c *replica) (evictionGroup, bool) {
	g := evictionGroup{}
	for _, child := range m.allReplicas() {
		if child.base != c.checkpoint || child.state == absent {
			continue
		}
		if child.state != loaded || child.useCount() > 0 {
			return evictionGroup{}, false
		}
		g.members = append(g.members, child)
	}
	slices.SortFunc(g.members, compareCheckpoints)
	g.members = append(g.members, c)
	for _, member := range g.members {
		g.memory += member.reserved
		g.benefitPerMiB += m.keepBenefit(member)
	}
	g.benefitPerMiB /= float64(max(1, g.memory))
	return g, true
}

// keepBenefit returns the reload cost that keeping r loaded is expected to save
// per second: its value times its size, divided by the expected time until its
// next use. That time is the longer of the mean gap and the idle time so far.
func (m *Manager) keepBenefit(r *replica) float64 {
	next := max(time.Second, r.idleTime(), r.gaps.Mean(m.Config.KeepWarm))
	return float64(1+max(0, r.value)) * float64(max(1, r.reserved)) / next.Seconds()
}

// closeGroup closes the members that are still idle, in unload order. It stops at
// the first member that is not idle, so a base model stays loaded as long as one
// of its adapters.
func (m *Manager) closeGroup(g evictionGroup) (closed []*replica, freed int64) {
	for _, member := range g.members {
		if !member.tryLockOp() {
			return closed, freed
		}
		if member.state != loaded || !member.closeIfIdle() {
			member.unlockOp()
			return closed, freed
		}
		closed = append(closed, member)
		freed += member.reserved
	}
	return closed, freed
}

// presentAdapters counts the adapters of r that are not absent.
func (m *Manager) presentAdapters(r *replica) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, c := range m.allReplicas() {
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
