package claims

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// simulation is the state of one run. A claimant chooses its next item by the claims
// in the log when it reads back its previous append. Other claimants can claim that
// item before the new append reaches the log.
type simulation struct {
	Setting
	rng            *rand.Rand
	queue          eventHeap
	claimed        []bool
	unclaimed      []int
	unclaimedIndex []int
	nextOrdered    int
	logFreeAt      time.Duration
	// assigned holds each claimant's items by its initial view. A claimant has a key
	// in assignedAfterUpdate only if that view is stale: the items it has from
	// ViewBound on.
	assigned            map[int][]int
	assignedAfterUpdate map[int][]int
	outcome             Outcome
}

// Run simulates one setting until no events are left.
func Run(setting Setting) Outcome {
	s := &simulation{
		Setting:        setting,
		rng:            rand.New(rand.NewPCG(setting.Seed, uint64(setting.Claimants))),
		claimed:        make([]bool, setting.Items),
		unclaimedIndex: make([]int, setting.Items),
	}
	for i := range setting.Items {
		s.unclaimed = append(s.unclaimed, i)
		s.unclaimedIndex[i] = i
	}
	if setting.Policy == Rendezvous {
		s.assign()
	}
	for claimant := range setting.Claimants {
		s.push(event{at: s.randomDelay(setting.WakeWithin), claimant: claimant, item: -1})
	}
	for s.queue.Len() > 0 {
		s.process(heap.Pop(&s.queue).(event))
	}
	return s.outcome
}

func (s *simulation) push(e event) { heap.Push(&s.queue, e) }

func (s *simulation) randomDelay(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

func (s *simulation) process(e event) {
	now := e.at
	if e.item >= 0 {
		// The log processes appends one at a time.
		s.logFreeAt = max(s.logFreeAt, e.at) + time.Duration(float64(time.Second)/s.AppendsPerS)
		now = s.logFreeAt
		s.applyClaim(e.item, now)
	}
	item, ok := s.pick(e.claimant, now)
	if ok {
		s.push(event{at: now + s.Latency + s.randomDelay(s.Latency), claimant: e.claimant, item: item})
	}
}

func (s *simulation) applyClaim(item int, now time.Duration) {
	if s.claimed[item] {
		s.outcome.Voided++
		return
	}
	s.claimed[item] = true
	s.outcome.Useful++
	s.outcome.Claimed = now
	last := s.unclaimed[len(s.unclaimed)-1]
	s.unclaimed[s.unclaimedIndex[item]] = last
	s.unclaimedIndex[last] = s.unclaimedIndex[item]
	s.unclaimed = s.unclaimed[:len(s.unclaimed)-1]
}

// pick returns the item that the claimant claims next, given the claims in the log
// now. It returns false if there is none.
func (s *simulation) pick(claimant int, now time.Duration) (int, bool) {
	if len(s.unclaimed) == 0 {
		return 0, false
	}
	switch s.Policy {
	case Ordered:
		for s.claimed[s.nextOrdered] {
			s.nextOrdered++
		}
		return s.nextOrdered, true
	case Random:
		return s.unclaimed[s.rng.IntN(len(s.unclaimed))], true
	default:
		return s.pickAssigned(claimant, now)
	}
}

func (s *simulation) pickAssigned(claimant int, now time.Duration) (int, bool) {
	items := s.assigned[claimant]
	updated, stale := s.assignedAfterUpdate[claimant]
	if stale && now >= s.ViewBound {
		items = updated
	}
	for _, item := range items {
		if !s.claimed[item] {
			return item, true
		}
	}
	if stale && now < s.ViewBound {
		// The claimant tries again when its view has the membership change.
		s.push(event{at: s.ViewBound, claimant: claimant, item: -1})
	}
	return 0, false
}

// assign computes each claimant's items from its view of the members. The last
// membership change replaced the first members of the list; a stale view still holds
// the replaced ones.
func (s *simulation) assign() {
	changed := int(float64(s.Claimants) * s.ChangedShare)
	current := members(s.Claimants, changed, "new")
	previous := members(s.Claimants, changed, "old")
	s.assigned = make(map[int][]int)
	s.assignedAfterUpdate = make(map[int][]int)
	stale := make([]bool, s.Claimants)
	for claimant := range stale {
		stale[claimant] = claimant >= changed && s.rng.Float64() < s.StaleShare
		if stale[claimant] {
			s.assignedAfterUpdate[claimant] = nil
		}
	}
	for item := range s.Items {
		stream := atmostonce.Stream(item)
		owner := ownerOf(current, stream)
		if stale[owner] {
			s.assignedAfterUpdate[owner] = append(s.assignedAfterUpdate[owner], item)
		} else {
			s.assigned[owner] = append(s.assigned[owner], item)
		}
		if previousOwner := ownerOf(previous, stream); stale[previousOwner] {
			s.assigned[previousOwner] = append(s.assigned[previousOwner], item)
		}
	}
}

func members(count, changed int, replaced string) []controlstate.Member {
	out := make([]controlstate.Member, count)
	for i := range out {
		incarnation := "same"
		if i < changed {
			incarnation = replaced
		}
		out[i] = controlstate.Member{MemberJoin: record.MemberJoin{Instance: fmt.Sprint(i), Incarnation: incarnation, Role: record.RoleEntry}}
	}
	return out
}

func ownerOf(list []controlstate.Member, stream string) int {
	var claimant int
	_, _ = fmt.Sscan(atmostonce.RankCandidates(list, stream)[0].Instance, &claimant)
	return claimant
}
