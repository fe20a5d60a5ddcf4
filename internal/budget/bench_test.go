package budget

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

var start = time.Unix(1, 0)

func manyTeams(n int) map[string]config.Team {
	teams := make(map[string]config.Team, n)
	for i := range n {
		teams[fmt.Sprintf("team-%04d", i)] = config.Team{RateTokensPerS: 1e9, BurstTokens: 0.516e9}
	}
	return teams
}

// instant returns the budget of the owner of the first share of a team, without
// takeover waits.
func instant(members, teams int) (*Owner, *Holder) {
	f := &fixed{view: viewWith(members, manyTeams(teams))}
	tracker := NewTracker(0)
	tracker.Observe(f.view)
	self := tracker.At(f.view).Team("team-0001").Owners[0].Incarnation
	opts := Options{Self: self, MaxViewAge: 1}
	owner := NewOwner(opts, f, tracker)
	return owner, NewHolder(opts, f, tracker, owner, nil)
}

// BenchmarkSpend is the cost on the request path: with a live grant, and with
// a request to this instance's own share each time.
func BenchmarkSpend(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		for _, granted := range []bool{true, false} {
			b.Run(fmt.Sprintf("teams=%d/granted=%v", teams, granted), func(b *testing.B) {
				_, holder := instant(1, teams)
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

// BenchmarkGrant is the owner's cost of one grant.
func BenchmarkGrant(b *testing.B) {
	for _, members := range []int{1, 100, 1600} {
		b.Run(fmt.Sprintf("entries=%d", members), func(b *testing.B) {
			owner, _ := instant(members, 10)
			b.ReportAllocs()
			for i := uint64(1); b.Loop(); i++ {
				owner.Grant(GrantRequest{Holder: "h", ID: i, Team: "team-0001", Shares: 16, Want: 1, Min: 1})
			}
		})
	}
}

// BenchmarkObserve is the cost of a change of membership at the target scale.
func BenchmarkObserve(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			v := viewWith(1600, manyTeams(teams))
			o := newOwnership(DefaultGrantTTL).next(v, start)
			more := member(v, "late")
			b.ReportAllocs()
			for b.Loop() {
				o.next(more, start)
			}
		})
	}
}

// BenchmarkMemory reports the bytes held per team by tracker, owner and holder
// of a fleet of one, which owns every share.
func BenchmarkMemory(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				owner, holder := instant(1, teams)
				for id := range manyTeams(teams) {
					_ = holder.Spend(context.Background(), id, 1)
				}
				b.ReportMetric(float64(heap()-before)/float64(teams), "B/team")
				runtime.KeepAlive(owner)
				runtime.KeepAlive(holder)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
