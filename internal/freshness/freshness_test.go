package freshness_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// TestTracker guards the view bound: an age never falls by a late answer (F18),
// an outage allows work but no decisions, and nothing is fresh at the start.
func TestTracker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := freshness.New(freshness.ViewBound)
		is.True(!tr.MayWork())
		is.Equal(tr.ViewAge(), freshness.UnknownAge)
		time.Sleep(10 * time.Second)
		tr.RecordComplete(tr.Now())
		tr.RecordComplete(tr.Now().Minus(5 * time.Second)) // a delayed answer
		tr.RecordComplete(tr.Now().Minus(freshness.UnknownAge))
		is.Equal(tr.ViewAge(), time.Duration(0))
		time.Sleep(freshness.ViewBound)
		is.True(tr.MayWork() && tr.MayDecide()) // the bound itself is allowed
		time.Sleep(time.Nanosecond)
		is.True(!tr.MayWork())
		tr.RecordOutage(tr.Now().Minus(time.Second))
		is.True(tr.MayWork() && !tr.MayDecide())
		is.Equal(tr.Age(), time.Second)
		time.Sleep(2*time.Second + 1)
		is.True(!tr.MayWork())
	})
}

// TestConfirm guards H6 and H9 against an outage that only a part of the fleet
// sees (F6 for some, F13).
func TestConfirm(t *testing.T) {
	old := 4 * time.Second
	contact := func(instance, dc string, change func(*freshness.PeerStatus)) freshness.PeerStatus {
		c := freshness.PeerStatus{Instance: instance, DataCentre: dc, Sent: 1, Reader: true, LogAge: old, ViewAge: old, LogFailing: true, Offset: 5}
		if change != nil {
			change(&c)
		}
		return c
	}
	both := freshness.Quorum{DataCentres: []string{"b", "c"}, Readers: []string{"a1"}, Offset: 5}
	alone := freshness.Quorum{Readers: []string{"a1", "a2"}, Offset: 5}
	late := func(c *freshness.PeerStatus) { c.Sent = 2 }
	for _, c := range []struct {
		name     string
		need     freshness.Quorum
		contacts []freshness.PeerStatus
		now      freshness.MonoTime
		at       freshness.MonoTime
		ok       bool
	}{
		{"every data centre", both, []freshness.PeerStatus{contact("b1", "b", nil), contact("c1", "c", late)}, 3, 1, true},
		{"newest of each counts", both, []freshness.PeerStatus{contact("b1", "b", nil), contact("b2", "b", late), contact("c1", "c", late)}, 3, 2, true},
		{"one data centre silent", both, []freshness.PeerStatus{contact("b1", "b", nil)}, 3, 0, false},
		{"one answered too long ago", both, []freshness.PeerStatus{contact("b1", "b", nil), contact("c1", "c", late)}, freshness.MonoTime(freshness.ViewBound) + 2, 0, false},
		{"one reader reads", both, []freshness.PeerStatus{contact("b1", "b", nil), contact("c1", "c", nil), contact("c2", "c", func(c *freshness.PeerStatus) { c.LogAge = 0 })}, 3, 0, false},
		{"a former reader is fed", both, []freshness.PeerStatus{contact("b1", "b", nil), contact("c1", "c", func(c *freshness.PeerStatus) { c.ViewAge, c.Reader = 0, false })}, 3, 0, false},
		{"a former reader is no evidence", both, []freshness.PeerStatus{contact("b1", "b", nil), contact("c1", "c", func(c *freshness.PeerStatus) { c.Reader = false })}, 3, 0, false},
		{"one reader still waits", both, []freshness.PeerStatus{contact("b1", "b", nil), contact("c1", "c", func(c *freshness.PeerStatus) { c.LogFailing = false })}, 3, 0, false},
		{"one knows more records", both, []freshness.PeerStatus{contact("b1", "b", nil), contact("c1", "c", func(c *freshness.PeerStatus) { c.Offset = 6 })}, 3, 0, false},
		{"a later answer replaces", both, []freshness.PeerStatus{contact("b1", "b", late), contact("b1", "b", func(c *freshness.PeerStatus) { c.LogAge = 0 }), contact("c1", "c", late)}, 3, 2, true},
		{"single data centre", alone, []freshness.PeerStatus{contact("a1", "a", nil), contact("a2", "a", late)}, 3, 1, true},
		{"single data centre, isolated", alone, []freshness.PeerStatus{contact("a1", "a", nil)}, 3, 0, false},
		{"single instance", freshness.Quorum{}, nil, 3, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			j := freshness.NewOutageDetector()
			for _, heard := range c.contacts {
				j.Record(heard)
			}
			at, ok := j.Confirm(c.now, c.need)
			is.Equal(ok, c.ok)
			is.True(!ok || at == c.at)
		})
	}
}

// ended is the outcome of one numbered read.
type ended struct {
	n int
	o freshness.ReadOutcome
}

// TestLogHealth guards against taking a slow log for one that is out (F6).
func TestLogHealth(t *testing.T) {
	for _, c := range []struct {
		name     string
		asked    int
		outcomes []ended
		after    time.Duration
		fails    bool
	}{
		{"nothing asked", 0, nil, 0, false},
		{"refused", 1, []ended{{1, freshness.Failed}}, time.Minute, true},
		{"refused, then unanswered", 2, []ended{{1, freshness.Failed}}, time.Second, false},
		{"refused, then just asked", 2, []ended{{1, freshness.Failed}}, 100 * time.Millisecond, true},
		{"timed out, others unanswered", 3, []ended{{1, freshness.TimedOut}}, time.Second, true},
		{"older read times out after a newer answer", 2, []ended{{2, freshness.Answered}, {1, freshness.TimedOut}}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := freshness.NewLogHealth(freshness.New(freshness.ViewBound))
				for n := range c.asked {
					h.ReadStarted(n + 1)
				}
				for _, e := range c.outcomes {
					h.ReadEnded(e.n, e.o)
				}
				time.Sleep(c.after)
				is.Equal(h.Failing(), c.fails)
			})
		})
	}
}

// BenchmarkMayWork reports the cost on the request path.
func BenchmarkMayWork(b *testing.B) {
	tr := freshness.New(freshness.ViewBound)
	tr.RecordComplete(tr.Now())
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			tr.MayWork()
		}
	})
}

// BenchmarkConfirm reports the cost of judging an outage by number of readers.
func BenchmarkConfirm(b *testing.B) {
	for _, centres := range []int{3, 5, 20} {
		b.Run(fmt.Sprintf("%dcentres", centres), func(b *testing.B) {
			j := freshness.NewOutageDetector()
			var need freshness.Quorum
			for i := range centres * 3 {
				dc := string(rune('a' + i/3))
				j.Record(freshness.PeerStatus{Instance: string(rune('A' + i)), DataCentre: dc, Sent: 1, Reader: true, LogAge: freshness.UnknownAge, ViewAge: freshness.UnknownAge, LogFailing: true})
				if i%3 == 0 {
					need.DataCentres = append(need.DataCentres, dc)
				}
			}
			for b.Loop() {
				if _, ok := j.Confirm(2, need); !ok {
					b.Fatal("not confirmed")
				}
			}
		})
	}
}
