package replica_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/replica"
)

// runFleet forms a fleet with data centres of the given sizes and calls body,
// all in the virtual time of synctest.
func runFleet(t *testing.T, body func(ctx context.Context, sim *simulation), sizes ...int) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, 1, disabledRules{})
		sim.formFleet(sizes...)
		body(ctx, sim)
		cancel()
		sim.wg.Wait()
	})
}

// TestAppendAfterLostAnswers guards H15 under F7. An append whose answers are
// lost takes effect once and returns its verdict after the record is read back.
// An append whose outcome stays unknown, or that is not allowed, returns an
// error.
func TestAppendAfterLostAnswers(t *testing.T) {
	is := is.New(t)
	runFleet(t, func(ctx context.Context, sim *simulation) {
		r := sim.nodes["a0"].replica
		events, unsubscribe := r.Subscribe(64)
		defer unsubscribe()
		teamChange := func(base backing.Offset) record.ConfigChange {
			return record.ConfigChange{Base: base, Changes: []record.EntryChange{{Section: record.SectionTeams, ID: "t", Value: json.RawMessage(`{}`)}}}
		}
		sim.set(func() { sim.loseAppendAnswers = true })
		verdict, at, err := r.AppendAs(ctx, "anna", teamChange(sim.version()))
		is.NoErr(err)
		is.True(verdict.Applied)
		is.Equal(r.View().ConfigVersion, at)
		stale, _, err := r.AppendAs(ctx, "bert", teamChange(at-1)) // F9: the second of two conflicting changes is refused
		is.NoErr(err)
		is.True(!stale.Applied && stale.Reason != "")
		sim.set(func() { sim.loseAppendAnswers = false })
		other := sim.nodes["c3"].replica
		is.NoErr(other.WaitFor(ctx, at))
		is.Equal(other.View().ConfigVersion, at)

		sim.set(func() { sim.logDown["all"] = true })
		shortCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		_, _, err = r.Append(shortCtx, teamChange(at))
		is.True(errors.Is(err, replica.ErrOutcomeUnknown))
		time.Sleep(10 * time.Second)
		is.True(r.MayWork()) // the outage is confirmed
		_, _, err = r.Append(ctx, teamChange(at))
		is.True(errkind.Is(err, errkind.LogUnavailable)) // a confirmed outage permits no append
		sim.set(func() { delete(sim.logDown, "all") })

		var seen []replica.Event
		for len(events) > 0 {
			seen = append(seen, <-events)
		}
		last := backing.Offset(0)
		for _, e := range seen {
			is.True(e.Offset > last && e.Missed == 0) // in order, none missing
			last = e.Offset
		}
		is.True(len(seen) >= 2)
	}, 4, 4, 4)
}

// TestDeepTree guards against instances that stop work because their view is
// stale, in a relay tree of three levels without faults and after the loss of
// an inner node. It logs for how long a log outage interrupts work.
func TestDeepTree(t *testing.T) {
	is := is.New(t)
	runFleet(t, func(_ context.Context, sim *simulation) {
		time.Sleep(10 * time.Second)
		stoppedTime := func(span time.Duration) (total time.Duration) {
			for range span / (50 * time.Millisecond) {
				time.Sleep(50 * time.Millisecond)
				for _, n := range sim.nodes {
					if !n.dead() && !n.replica.MayWork() {
						total += 50 * time.Millisecond
						break
					}
				}
			}
			return total
		}
		is.Equal(stoppedTime(30*time.Second), time.Duration(0)) // no fault
		order := sim.nodes["a0"].replica.Relay().Tree("a")
		is.Equal(order.Len(), 56)
		sim.nodes[order.At(3).PeerAddr].kill() // the parent of positions 51 to 55
		is.Equal(stoppedTime(30*time.Second), time.Duration(0))
		sim.set(func() { sim.logDown["all"] = true })
		t.Logf("log refuses for 30 s: some instance stopped for %v", stoppedTime(30*time.Second))
		sim.set(func() { delete(sim.logDown, "all") })
		t.Logf("log back for 30 s: some instance stopped for %v", stoppedTime(30*time.Second))
		sim.set(func() { sim.logDelay["all"] = time.Hour })
		t.Logf("log silent for 40 s: some instance stopped for %v", stoppedTime(40*time.Second))
	}, 56, 4, 4)
}

// TestRejoin guards H13 under F12 and F1. An instance that the fleet removed by
// mistake stops work at once and rejoins under a new incarnation. An instance
// that left stays out. Its watchers remove an instance that was killed,
// although the instance list still contains it.
func TestRejoin(t *testing.T) {
	is := is.New(t)
	runFleet(t, func(ctx context.Context, sim *simulation) {
		n, other := sim.nodes["a0"], sim.nodes["c0"].replica
		before := n.self.Incarnation()
		_, at, err := other.Append(ctx, record.MemberGone{Instance: "a0", Incarnation: before, Reason: record.GoneSilent})
		is.NoErr(err)
		is.NoErr(n.replica.WaitFor(ctx, at))
		is.True(!n.replica.MayWork())
		time.Sleep(30 * time.Second)
		is.True(n.self.Incarnation() != before && n.member.Live() && n.replica.MayWork())

		sim.nodes["b0"].member.Drain()
		is.Equal(sim.nodes["b0"].replica.Refusal(), errkind.Draining)
		is.NoErr(sim.nodes["b0"].member.Leave(ctx))
		sim.set(func() { sim.listKeepsKilled = true })
		sim.nodes["b1"].kill()
		time.Sleep(80 * time.Second)
		for _, gone := range []string{"b0", "b1"} {
			_, member := other.View().Members.Get(gone)
			is.True(!member)
		}
		is.Equal(other.View().Members.Len(), 10)
	}, 4, 4, 4)
}

// TestTwoProcessesOfOneInstance guards against two processes with one instance id (F3) that replace each
// other as fast as they can append, and so fill the control stream with joins.
func TestTwoProcessesOfOneInstance(t *testing.T) {
	is := is.New(t)
	runFleet(t, func(_ context.Context, sim *simulation) {
		before := sim.nodes["b0"].replica.View().Offset
		sim.startNode("a1", "a", "a1-second")
		time.Sleep(time.Minute)
		// Each waits 0.25 to 0.75 s at first and 7.5 to 22.5 s in the end.
		appended := sim.nodes["b0"].replica.View().Offset - before
		is.True(appended >= 3)
		is.True(appended <= 40)
		is.Equal(len(sim.history.check()), 0)
		is.True(sim.nodes["a0"].replica.MayWork())
		sim.nodes["a1-second"].kill()
		time.Sleep(time.Minute)
		is.True(sim.nodes["a1"].replica.MayWork())
	}, 3, 3)
}
