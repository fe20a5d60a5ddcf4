package claims

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// run is the state of one simulation. A claimant's view of the claims is the
// log at its last read-back, so it ages while its next append waits.
type run struct {
	Setting
	rng     *rand.Rand
	queue   events
	taken   []bool
	open    []int
	place   []int
	next    int
	free    time.Duration
	owned   map[int][]int
	late    map[int][]int
	outcome Outcome
}

// Run simulates one setting until no append is under way.
func Run(s Setting) Outcome {
	r := &run{
		Setting: s,
		rng:     rand.New(rand.NewPCG(s.Seed, uint64(s.Claimants))),
		taken:   make([]bool, s.Items),
		place:   make([]int, s.Items),
	}
	for i := range s.Items {
		r.open = append(r.open, i)
		r.place[i] = i
	}
	if s.Policy == Rendezvous {
		r.assign()
	}
	for c := range s.Claimants {
		r.push(event{at: r.span(s.WakeWithin), claimant: c, item: -1})
	}
	for r.queue.Len() > 0 {
		r.step(heap.Pop(&r.queue).(event))
	}
	return r.outcome
}

func (r *run) push(e event) { heap.Push(&r.queue, e) }

func (r *run) span(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d) + 1))
}

func (r *run) step(e event) {
	now := e.at
	if e.item >= 0 {
		// The log takes one append after the other.
		r.free = max(r.free, e.at) + time.Duration(float64(time.Second)/r.AppendsPerS)
		now = r.free
		r.decide(e.item, now)
	}
	item, ok := r.pick(e.claimant, now)
	if ok {
		r.push(event{at: now + r.Latency + r.span(r.Latency), claimant: e.claimant, item: item})
	}
}

func (r *run) decide(item int, now time.Duration) {
	if r.taken[item] {
		r.outcome.Voided++
		return
	}
	r.taken[item] = true
	r.outcome.Useful++
	r.outcome.Claimed = now
	last := r.open[len(r.open)-1]
	r.open[r.place[item]] = last
	r.place[last] = r.place[item]
	r.open = r.open[:len(r.open)-1]
}

// pick returns the item that the claimant claims next, by what it knows now.
func (r *run) pick(claimant int, now time.Duration) (int, bool) {
	if len(r.open) == 0 {
		return 0, false
	}
	switch r.Policy {
	case Ordered:
		for r.taken[r.next] {
			r.next++
		}
		return r.next, true
	case Random:
		return r.open[r.rng.IntN(len(r.open))], true
	default:
		return r.pickOwned(claimant, now)
	}
}

func (r *run) pickOwned(claimant int, now time.Duration) (int, bool) {
	mine := r.owned[claimant]
	later, stale := r.late[claimant]
	if stale && now >= r.ViewBound {
		mine = later
	}
	for _, item := range mine {
		if !r.taken[item] {
			return item, true
		}
	}
	if stale && now < r.ViewBound {
		// It looks again when it has folded the change.
		r.push(event{at: r.ViewBound, claimant: claimant, item: -1})
	}
	return 0, false
}

// assign computes each claimant's items from its view of the members. The last
// change of members replaced the first ones of the list; a stale view still
// holds their predecessors.
func (r *run) assign() {
	changed := int(float64(r.Claimants) * r.ChangedShare)
	present := members(r.Claimants, changed, "new")
	before := members(r.Claimants, changed, "old")
	r.owned = make(map[int][]int)
	r.late = make(map[int][]int)
	stale := make([]bool, r.Claimants)
	for c := range stale {
		stale[c] = c >= changed && r.rng.Float64() < r.StaleShare
		if stale[c] {
			r.late[c] = nil
		}
	}
	for item := range r.Items {
		stream := once.Stream(item)
		owner := ownerOf(present, stream)
		if stale[owner] {
			r.late[owner] = append(r.late[owner], item)
		} else {
			r.owned[owner] = append(r.owned[owner], item)
		}
		if believed := ownerOf(before, stream); stale[believed] {
			r.owned[believed] = append(r.owned[believed], item)
		}
	}
}

func members(count, changed int, replaced string) []fold.Member {
	out := make([]fold.Member, count)
	for i := range out {
		incarnation := "same"
		if i < changed {
			incarnation = replaced
		}
		out[i] = fold.Member{MemberJoin: record.MemberJoin{Instance: fmt.Sprint(i), Incarnation: incarnation, Role: record.RoleEntry}}
	}
	return out
}

func ownerOf(list []fold.Member, stream string) int {
	var claimant int
	_, _ = fmt.Sscan(once.RankCandidates(list, stream)[0].Instance, &claimant)
	return claimant
}
