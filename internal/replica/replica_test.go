package replica_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/replica"
)

// fleet runs body in virtual time with a formed fleet.
func fleet(t *testing.T, body func(ctx context.Context, w *world), sizes ...int) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 1, off{})
		w.form(sizes...)
		body(ctx, w)
		cancel()
		w.wg.Wait()
	})
}

// TestAppendSettles guards H15 and F7: an append whose answers are lost is
// settled by reading, takes effect once, and an append that cannot be settled
// or must not be tried says so.
func TestAppendSettles(t *testing.T) {
	is := is.New(t)
	fleet(t, func(ctx context.Context, w *world) {
		r := w.nodes["a0"].replica
		events, end := r.Subscribe(64)
		defer end()
		put := func(base platform.Offset) record.ConfigChange {
			return record.ConfigChange{Base: base, Changes: []record.EntryChange{{Section: record.SectionTeams, ID: "t", Value: json.RawMessage(`{}`)}}}
		}
		w.set(func() { w.loseAppend = true })
		verdict, at, err := r.AppendAs(ctx, "anna", put(w.version()))
		is.NoErr(err)
		is.True(verdict.Applied)
		is.Equal(r.View().ConfigVersion, at)
		stale, _, err := r.AppendAs(ctx, "bert", put(at-1)) // F9: the loser is told
		is.NoErr(err)
		is.True(!stale.Applied && stale.Reason != "")
		w.set(func() { w.loseAppend = false })
		other := w.nodes["c3"].replica
		is.NoErr(other.WaitFor(ctx, at))
		is.Equal(other.View().ConfigVersion, at)

		w.set(func() { w.logDown["all"] = true })
		short, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		_, _, err = r.Append(short, put(at))
		is.True(errors.Is(err, replica.ErrOutcomeUnknown))
		time.Sleep(10 * time.Second)
		is.True(r.MayWork()) // the outage is confirmed
		_, _, err = r.Append(ctx, put(at))
		is.True(errkind.Is(err, errkind.LogUnavailable)) // and allows no decision
		w.set(func() { delete(w.logDown, "all") })

		var seen []replica.Event
		for len(events) > 0 {
			seen = append(seen, <-events)
		}
		last := platform.Offset(0)
		for _, e := range seen {
			is.True(e.Offset > last && e.Missed == 0) // in order, none missing
			last = e.Offset
		}
		is.True(len(seen) >= 2)
	}, 4, 4, 4)
}

// TestDeepTree guards service in an undisturbed tree of three levels and
// through the loss of an inner parent: nobody may stop for want of a fresh
// view. It reports how long a log outage interrupts work.
func TestDeepTree(t *testing.T) {
	is := is.New(t)
	fleet(t, func(_ context.Context, w *world) {
		time.Sleep(10 * time.Second)
		stopped := func(span time.Duration) (total time.Duration) {
			for range span / (50 * time.Millisecond) {
				time.Sleep(50 * time.Millisecond)
				for _, n := range w.nodes {
					if !n.dead() && !n.replica.MayWork() {
						total += 50 * time.Millisecond
						break
					}
				}
			}
			return total
		}
		is.Equal(stopped(30*time.Second), time.Duration(0)) // undisturbed
		order := w.nodes["a0"].replica.Relay().Tree("a")
		is.Equal(order.Len(), 56)
		w.nodes[order.At(3).PeerAddr].kill() // the parent of positions 51 to 55
		is.Equal(stopped(30*time.Second), time.Duration(0))
		w.set(func() { w.logDown["all"] = true })
		t.Logf("log refuses for 30 s: some instance stopped for %v", stopped(30*time.Second))
		w.set(func() { delete(w.logDown, "all") })
		t.Logf("log back for 30 s: some instance stopped for %v", stopped(30*time.Second))
		w.set(func() { w.logDelay["all"] = time.Hour })
		t.Logf("log silent for 40 s: some instance stopped for %v", stopped(40*time.Second))
	}, 56, 4, 4)
}

// TestRejoin guards H13 and F12: an instance that was ended wrongly stops at
// once and returns under a new incarnation; one that left stays away; one that
// was killed is ended by its watchers although the list keeps it (F1).
func TestRejoin(t *testing.T) {
	is := is.New(t)
	fleet(t, func(ctx context.Context, w *world) {
		n, other := w.nodes["a0"], w.nodes["c0"].replica
		before := n.self.Incarnation()
		_, at, err := other.Append(ctx, record.MemberGone{Instance: "a0", Incarnation: before, Reason: record.GoneSilent})
		is.NoErr(err)
		is.NoErr(n.replica.WaitFor(ctx, at))
		is.True(!n.replica.MayWork())
		time.Sleep(30 * time.Second)
		is.True(n.self.Incarnation() != before && n.member.Live() && n.replica.MayWork())

		w.nodes["b0"].member.Drain()
		is.Equal(w.nodes["b0"].replica.Refusal(), errkind.Draining)
		is.NoErr(w.nodes["b0"].member.Leave(ctx))
		w.set(func() { w.listKeepsDead = true })
		w.nodes["b1"].kill()
		time.Sleep(80 * time.Second)
		for _, gone := range []string{"b0", "b1"} {
			_, member := other.View().Members.Get(gone)
			is.True(!member)
		}
		is.Equal(other.View().Members.Len(), 10)
	}, 4, 4, 4)
}
