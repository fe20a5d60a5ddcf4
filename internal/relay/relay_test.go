package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// sink is a view without a replica around it.
type sink struct{ v *fold.View }

func (s *sink) View() *fold.View     { return s.v }
func (s *sink) Restore(v *fold.View) { s.v = v }
func (s *sink) Apply(records []platform.Record) {
	for _, r := range records {
		s.v, _, _ = s.v.ApplyRecord(r)
	}
}

// joins returns n join records of one data centre.
func joins(n int) []platform.Record {
	out := make([]platform.Record, n)
	for i := range out {
		e, _ := record.New("t", 0, record.MemberJoin{Instance: fmt.Sprint("i", i), Incarnation: "x", DataCentre: "a", PeerAddr: fmt.Sprint("addr", i)})
		data, _ := e.Encode()
		out[i] = platform.Record{Offset: platform.Offset(i + 1), Data: data}
	}
	return out
}

func newRelay(self string, dialer Dialer, bufferRecords int) *Relay {
	return New(Config{
		Self: NewSelf(self, "a", "x"), Log: standin.NewLog(), Dialer: dialer, Sink: &sink{fold.Empty()},
		Tracker: freshness.New(freshness.ViewBound), Rand: rand.New(rand.NewPCG(1, 1)), BufferRecords: bufferRecords,
	})
}

// TestTree guards the reach of the tree: at every size each member has a path
// of sources to a reader, is the child of its parent, and needs few hops.
func TestTree(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 3, 4, 20, 51, 320, 1440} {
		var members []fold.Member
		for i := range n {
			members = append(members, fold.Member{MemberJoin: record.MemberJoin{Instance: fmt.Sprint(i), DataCentre: "a"}})
		}
		o := orderOf(members)
		children, hops := 0, 0
		for p := range n {
			for _, q := range o.Children(p) {
				is.Equal(Parent(q), p)
				children++
			}
			for i, q := range o.Sources(p) {
				is.True(q != p && q < n)
				is.True(p < Readers || q < p)                   // no cycles
				is.True(p < Readers || i > 0 || q == Parent(p)) // the parent comes first
			}
			hops = max(hops, Hops(p))
		}
		is.Equal(children, max(0, n-Readers)) // everyone but the readers has one parent
		is.True(hops <= 3)
		t.Logf("%d members: %d hops", n, hops)
	}
}

// TestNeverLower guards H15 against answers that come late, twice, with gaps
// or out of order (F18).
func TestNeverLower(t *testing.T) {
	is := is.New(t)
	r := newRelay("i0", nil, 8)
	all := joins(40)
	rnd := rand.New(rand.NewPCG(1, 2))
	last := platform.Offset(0)
	for range 400 {
		from := rnd.IntN(len(all))
		r.ingest(all[from:min(len(all), from+1+rnd.IntN(6))])
		is.True(r.offset() >= last)
		last = r.offset()
	}
	is.Equal(last, platform.Offset(40))
	is.True(!r.restore(fold.Empty())) // nor by an older snapshot
	records, offset, expired := r.after(32)
	is.Equal(len(records), 8)
	is.True(offset == 40 && !expired)
	_, _, expired = r.after(31)
	is.True(expired) // the buffer is bounded
}

// TestPullHolds guards the cost of an idle tree and the age of the children: an
// idle pull is held, and ends at a record, at a gain in age, or after PullWait.
func TestPullHolds(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(r *Relay)
		held  time.Duration
	}{
		{"nothing", func(*Relay) {}, PullWait},
		{"record", func(r *Relay) { r.ingest(joins(4)) }, 300 * time.Millisecond},
		{"younger view", func(r *Relay) { r.cfg.Tracker.RecordComplete(r.cfg.Tracker.Now()); r.changed.broadcast() }, 300 * time.Millisecond},
		{"little younger view", func(r *Relay) {
			r.cfg.Tracker.RecordComplete(r.cfg.Tracker.Now().Minus(10*time.Second - RefreshGain/6))
			r.changed.broadcast()
		}, PullWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRelay("i0", nil, 0)
				r.ingest(joins(3))
				time.Sleep(20 * time.Second)
				r.cfg.Tracker.RecordComplete(r.cfg.Tracker.Now().Minus(10 * time.Second))
				time.AfterFunc(300*time.Millisecond, func() { c.event(r) })
				q := PullRequest{Sender: Sender{Instance: "i1", Incarnation: "x"}, From: 3, Wait: time.Hour, Age: 10 * time.Second}
				a, err := r.Pull(context.Background(), q)
				is.NoErr(err)
				is.Equal(a.Held, c.held)
				m, _ := r.cfg.Sink.View().Members.Get("i1")
				is.Equal(r.LastHeard(m), c.held) // the pull proves the child alive
			})
		})
	}
}

// scripted is a peer with a fixed answer after a delay.
type scripted struct {
	answer PullAnswer
	err    error
	delay  time.Duration
}

func (s scripted) Peer(string) Peer { return s }
func (s scripted) Pull(context.Context, PullRequest) (PullAnswer, error) {
	time.Sleep(s.delay)
	return s.answer, s.err
}

func (s scripted) Snapshot(context.Context, SnapshotRequest) (SnapshotAnswer, error) {
	return SnapshotAnswer{}, errors.New("none")
}

func (s scripted) Contact(context.Context, ContactRequest) (ContactAnswer, error) {
	return ContactAnswer{}, errors.New("none")
}

// TestParentJudged guards against staying with a useless parent, and against
// an age that is understated.
func TestParentJudged(t *testing.T) {
	fresh := PullAnswer{Offset: 3, ViewAge: time.Second, OutageAge: freshness.UnknownAge}
	with := func(change func(*PullAnswer)) PullAnswer {
		a := fresh
		change(&a)
		return a
	}
	for _, c := range []struct {
		name   string
		peer   scripted
		known  platform.Offset
		usable bool
		age    time.Duration
	}{
		{"fresh", scripted{answer: fresh}, 3, true, time.Second},
		{"transit counts", scripted{answer: fresh, delay: 400 * time.Millisecond}, 3, true, 1400 * time.Millisecond},
		{"time held does not", scripted{answer: with(func(a *PullAnswer) { a.Held = time.Second }), delay: 1300 * time.Millisecond}, 3, true, 1300 * time.Millisecond},
		{"error", scripted{err: errors.New("cut")}, 3, false, 2 * time.Second},
		{"behind a known offset", scripted{answer: fresh}, 4, false, time.Second},
		{"behind the own view", scripted{answer: with(func(a *PullAnswer) { a.Offset = 2 })}, 3, false, time.Second},
		{"older than the own view", scripted{answer: with(func(a *PullAnswer) { a.ViewAge = 2500 * time.Millisecond })}, 3, false, 2 * time.Second},
		{"ahead without the records", scripted{answer: with(func(a *PullAnswer) { a.Offset = 9 })}, 3, true, 2 * time.Second},
		{"confirmed outage", scripted{answer: with(func(a *PullAnswer) { a.OutageAge, a.ViewAge = time.Second/2, time.Hour })}, 3, true, time.Second / 2},
		{"outage behind a known offset", scripted{answer: with(func(a *PullAnswer) { a.OutageAge, a.ViewAge = time.Second/2, time.Hour })}, 4, false, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRelay("i9", c.peer, 0)
				r.ingest(joins(3))
				time.Sleep(10 * time.Second)
				r.cfg.Tracker.RecordComplete(r.cfg.Tracker.Now().Minus(2*time.Second - c.peer.delay))
				r.learn(c.known)
				is.Equal(r.pullOnce(context.Background(), "p", PullWait), c.usable)
				is.Equal(r.cfg.Tracker.Age(), c.age)
			})
		})
	}
}

// BenchmarkPullAnswer reports CPU and JSON bytes of an answer by the number of
// records, with the 1,440 members of a data centre in the view.
func BenchmarkPullAnswer(b *testing.B) {
	r := newRelay("i0", nil, 0)
	r.ingest(joins(1440))
	for _, n := range []int{0, 1, 16, 256} {
		b.Run(fmt.Sprintf("%drecords", n), func(b *testing.B) {
			b.ReportAllocs()
			q := PullRequest{Sender: Sender{Instance: "i1", Incarnation: "x"}, From: platform.Offset(1440 - n)}
			size := 0
			for b.Loop() {
				a, _ := r.Pull(context.Background(), q)
				data, _ := json.Marshal(a)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkOrder reports the cost of the order after a membership change and
// the hops it leads to.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{20, 200, 1440} {
		v := fold.Empty()
		for _, rec := range joins(n) {
			v, _, _ = v.ApplyRecord(rec)
		}
		b.Run(fmt.Sprintf("%dmembers", n), func(b *testing.B) {
			for b.Loop() {
				NewOrder(v, "a")
			}
			b.ReportMetric(float64(Hops(n-1)), "hops")
		})
	}
}
