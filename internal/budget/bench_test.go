package budget

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

var benchStart = time.Unix(1, 0)

func manyTeams(n int) map[string]config.Team {
	teams := make(map[string]config.Team, n)
	for i := range n {
		teams[fmt.Sprintf("team-%04d", i)] = config.Team{RateTokensPerS: 1e9, BurstTokens: 0.516e9}
	}
	return teams
}

// newBenchBudget returns the owner and the holder of the instance that owns the
// first share of team-0001, without a takeover wait.
func newBenchBudget(members, teams int) (*Owner, *Holder) {
	f := &fakeFleet{view: viewWith(members, manyTeams(teams))}
	tracker := NewTracker(0)
	tracker.Observe(f.view)
	self := tracker.At(f.view).Team("team-0001").Owners[0].Incarnation
	opts := Options{Self: self, MaxViewAge: 1}
	owner := NewOwner(opts, f, tracker)
	return owner, NewHolder(opts, f, tracker, owner, nil)
}

// BenchmarkSpend measures the cost on the request path: with a valid grant, and
// with a call to this instance's own share each time.
func BenchmarkSpend(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		for _, granted := range []bool{true, false} {
			b.Run(fmt.Sprintf("teams=%d/granted=%v", teams, granted), func(b *testing.B) {
				_, holder := newBenchBudget(1, teams)
				if granted {
					holder.pool("team-0001").add(grant{id: 1, tokens: 1e15, expires: time.Now().Add(time.Hour)})
				}
				b.ReportAllocs()
				for b.Loop() {
					_ = holder.Spend(context.Background(), "team-0001", 1)
					if !granted {
						p := holder.pool("team-0001")
						p.mu.Lock()
						p.grants = nil
						p.mu.Unlock()
					}
				}
			})
		}
	}
}

// BenchmarkGrant measures the owner's cost of one grant.
func BenchmarkGrant(b *testing.B) {
	for _, members := range []int{1, 100, 1600} {
		b.Run(fmt.Sprintf("entries=%d", members), func(b *testing.B) {
			owner, _ := newBenchBudget(members, 10)
			b.ReportAllocs()
			for i := uint64(1); b.Loop(); i++ {
				owner.Grant(GrantRequest{Holder: "h", ID: i, Team: "team-0001", Shares: 16, Want: 1, Min: 1})
			}
		})
	}
}

// BenchmarkObserve measures the cost of a membership change at the target scale.
func BenchmarkObserve(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			v := viewWith(1600, manyTeams(teams))
			o := newOwnership(DefaultGrantTTL).next(v, benchStart)
			larger := withMember(v, "late")
			b.ReportAllocs()
			for b.Loop() {
				o.next(larger, benchStart)
			}
		})
	}
}

// BenchmarkMemory reports the bytes per team that tracker, owner and holder use
// on a single instance, which owns every share.
func BenchmarkMemory(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				owner, holder := newBenchBudget(1, teams)
				for id := range manyTeams(teams) {
					_ = holder.Spend(context.Background(), id, 1)
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(teams), "B/team")
				runtime.KeepAlive(owner)
				runtime.KeepAlive(holder)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
