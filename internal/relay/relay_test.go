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

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// sink holds a view and applies records to it, without a replica.
type sink struct{ v *controlstate.View }

func (s *sink) View() *controlstate.View     { return s.v }
func (s *sink) Restore(v *controlstate.View) { s.v = v }
func (s *sink) Apply(records []backing.Record) {
	for _, r := range records {
		s.v, _, _ = s.v.ApplyRecord(r)
	}
}

// joins returns the join records of n members of one data centre.
func joins(n int) []backing.Record {
	out := make([]backing.Record, n)
	for i := range out {
		e, _ := record.New("t", 0, record.MemberJoin{Instance: fmt.Sprint("i", i), Incarnation: "x", DataCentre: "a", PeerAddr: fmt.Sprint("addr", i)})
		data, _ := e.Encode()
		out[i] = backing.Record{Offset: backing.Offset(i + 1), Data: data}
	}
	return out
}

func newRelay(self string, dialer Dialer, bufferRecords int) *Relay {
	return New(Config{
		Self: NewSelf(self, "a", "x"), Log: standin.NewLog(), Dialer: dialer, Sink: &sink{controlstate.Empty()},
		Tracker: freshness.New(freshness.ViewBound), Rand: rand.New(rand.NewPCG(1, 1)), BufferRecords: bufferRecords,
	})
}

// TestTree checks that at every fleet size each member has a path of sources to
// a reader, is a child of its parent, and needs at most 3 hops.
func TestTree(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 3, 4, 20, 51, 320, 1440} {
		var members []controlstate.Member
		for i := range n {
			members = append(members, controlstate.Member{MemberJoin: record.MemberJoin{Instance: fmt.Sprint(i), DataCentre: "a"}})
		}
		tree := buildTree(members)
		children, hops := 0, 0
		for p := range n {
			for _, q := range tree.Children(p) {
				is.Equal(Parent(q), p)
				children++
			}
			for i, q := range tree.Sources(p) {
				is.True(q != p && q < n)
				is.True(p < ReadersPerDataCentre || q < p)                   // no cycles
				is.True(p < ReadersPerDataCentre || i > 0 || q == Parent(p)) // the parent is preferred
			}
			hops = max(hops, Hops(p))
		}
		is.Equal(children, max(0, n-ReadersPerDataCentre)) // every member except the readers has one parent
		is.True(hops <= 3)
		t.Logf("%d members: %d hops", n, hops)
	}
}

// TestOffsetNeverDecreases guards H15 when responses arrive late, twice, with
// gaps or out of order (F18).
func TestOffsetNeverDecreases(t *testing.T) {
	is := is.New(t)
	r := newRelay("i0", nil, 8)
	all := joins(40)
	rnd := rand.New(rand.NewPCG(1, 2))
	last := backing.Offset(0)
	for range 400 {
		from := rnd.IntN(len(all))
		r.ingest(all[from:min(len(all), from+1+rnd.IntN(6))])
		is.True(r.offset() >= last)
		last = r.offset()
	}
	is.Equal(last, backing.Offset(40))
	is.True(!r.restore(controlstate.Empty())) // an older snapshot is ignored
	records, offset, expired := r.recordsAfter(32)
	is.Equal(len(records), 8)
	is.True(offset == 40 && !expired)
	_, _, expired = r.recordsAfter(31)
	is.True(expired) // evicted from the buffer
}

// TestPullLongPoll checks that a parent holds a pull until it has a new record or
// a sufficiently lower age, or until PullWait has passed. Responding too early
// would cause needless pulls in an idle tree; responding too late would let the
// views of the children age.
func TestPullLongPoll(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(r *Relay)
		held  time.Duration
	}{
		{"nothing", func(*Relay) {}, PullWait},
		{"record", func(r *Relay) { r.ingest(joins(4)) }, 300 * time.Millisecond},
		{"younger view", func(r *Relay) { r.cfg.Tracker.RecordComplete(r.cfg.Tracker.Now()); r.changed.broadcast() }, 300 * time.Millisecond},
		{"slightly younger view", func(r *Relay) {
			r.cfg.Tracker.RecordComplete(r.cfg.Tracker.Now().Minus(10*time.Second - MinAgeImprovement/6))
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
				is.Equal(r.TimeSinceLastMessage(m), c.held) // the pull counts as a message from the child
			})
		})
	}
}

// fakePeer returns a fixed response after a delay.
type fakePeer struct {
	response PullResponse
	err      error
	delay    time.Duration
}

func (p fakePeer) Peer(string) Peer { return p }
func (p fakePeer) Pull(context.Context, PullRequest) (PullResponse, error) {
	time.Sleep(p.delay)
	return p.response, p.err
}

func (p fakePeer) Snapshot(context.Context, SnapshotRequest) (SnapshotResponse, error) {
	return SnapshotResponse{}, errors.New("none")
}

func (p fakePeer) Status(context.Context, StatusRequest) (StatusResponse, error) {
	return StatusResponse{}, errors.New("none")
}

// TestParentUsability guards against a child that keeps using a parent with an
// outdated view, and against an age that is too low.
func TestParentUsability(t *testing.T) {
	fresh := PullResponse{Offset: 3, ViewAge: time.Second, OutageAge: freshness.UnknownAge}
	with := func(change func(*PullResponse)) PullResponse {
		a := fresh
		change(&a)
		return a
	}
	for _, c := range []struct {
		name   string
		peer   fakePeer
		known  backing.Offset
		usable bool
		age    time.Duration
	}{
		{"fresh", fakePeer{response: fresh}, 3, true, time.Second},
		{"transit adds to the age", fakePeer{response: fresh, delay: 400 * time.Millisecond}, 3, true, 1400 * time.Millisecond},
		{"hold time is not transit", fakePeer{response: with(func(a *PullResponse) { a.Held = time.Second }), delay: 1300 * time.Millisecond}, 3, true, 1300 * time.Millisecond},
		{"error", fakePeer{err: errors.New("cut")}, 3, false, 2 * time.Second},
		{"behind a known offset", fakePeer{response: fresh}, 4, false, time.Second},
		{"behind this view", fakePeer{response: with(func(a *PullResponse) { a.Offset = 2 })}, 3, false, time.Second},
		{"older than this view", fakePeer{response: with(func(a *PullResponse) { a.ViewAge = 2500 * time.Millisecond })}, 3, false, 2 * time.Second},
		{"ahead but records missing", fakePeer{response: with(func(a *PullResponse) { a.Offset = 9 })}, 3, true, 2 * time.Second},
		{"confirmed outage", fakePeer{response: with(func(a *PullResponse) { a.OutageAge, a.ViewAge = time.Second/2, time.Hour })}, 3, true, time.Second / 2},
		{"confirmed outage but behind a known offset", fakePeer{response: with(func(a *PullResponse) { a.OutageAge, a.ViewAge = time.Second/2, time.Hour })}, 4, false, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRelay("i9", c.peer, 0)
				r.ingest(joins(3))
				time.Sleep(10 * time.Second)
				r.cfg.Tracker.RecordComplete(r.cfg.Tracker.Now().Minus(2*time.Second - c.peer.delay))
				r.observeOffset(c.known)
				is.Equal(r.pullOnce(context.Background(), "p", PullWait), c.usable)
				is.Equal(r.cfg.Tracker.Age(), c.age)
			})
		})
	}
}

// BenchmarkPullAnswer measures the CPU time and JSON size of a pull response by
// the number of records, with the 1,440 members of a data centre in the view.
func BenchmarkPullAnswer(b *testing.B) {
	r := newRelay("i0", nil, 0)
	r.ingest(joins(1440))
	for _, n := range []int{0, 1, 16, 256} {
		b.Run(fmt.Sprintf("%drecords", n), func(b *testing.B) {
			b.ReportAllocs()
			q := PullRequest{Sender: Sender{Instance: "i1", Incarnation: "x"}, From: backing.Offset(1440 - n)}
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

// BenchmarkOrder measures building the relay tree after a membership change,
// and reports its number of hops.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{20, 200, 1440} {
		v := controlstate.Empty()
		for _, rec := range joins(n) {
			v, _, _ = v.ApplyRecord(rec)
		}
		b.Run(fmt.Sprintf("%dmembers", n), func(b *testing.B) {
			for b.Loop() {
				NewTree(v, "a")
			}
			b.ReportMetric(float64(Hops(n-1)), "hops")
		})
	}
}
