package freshness_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// TestTracker checks the view bound: a late answer does not change an age (F18),
// a confirmed outage allows work but no decisions, and a new tracker allows
// neither.
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
		is.True(tr.MayWork() && tr.MayDecide()) // an age equal to the bound is allowed
		time.Sleep(time.Nanosecond)
		is.True(!tr.MayWork())
		tr.RecordOutage(tr.Now().Minus(time.Second))
		is.True(tr.MayWork() && !tr.MayDecide())
		is.Equal(tr.Age(), time.Second)
		time.Sleep(2*time.Second + 1)
		is.True(!tr.MayWork())
	})
}

// TestConfirm guards against confirming an outage that only a part of the fleet
// sees (H6 and H9 under F13, and under F6 for some instances).
func TestConfirm(t *testing.T) {
	old := 4 * time.Second
	status := func(instance, dc string, change func(*freshness.PeerStatus)) freshness.PeerStatus {
		s := freshness.PeerStatus{Instance: instance, DataCentre: dc, Sent: 1, Reader: true, LogAge: old, ViewAge: old, LogFailing: true, Offset: 5}
		if change != nil {
			change(&s)
		}
		return s
	}
	twoDCs := freshness.Quorum{DataCentres: []string{"b", "c"}, Readers: []string{"a1"}, Offset: 5}
	singleDC := freshness.Quorum{Readers: []string{"a1", "a2"}, Offset: 5}
	late := func(s *freshness.PeerStatus) { s.Sent = 2 }
	for _, c := range []struct {
		name    string
		quorum  freshness.Quorum
		answers []freshness.PeerStatus
		now     freshness.MonoTime
		at      freshness.MonoTime
		ok      bool
	}{
		{"every data centre", twoDCs, []freshness.PeerStatus{status("b1", "b", nil), status("c1", "c", late)}, 3, 1, true},
		{"newest answer of each data centre counts", twoDCs, []freshness.PeerStatus{status("b1", "b", nil), status("b2", "b", late), status("c1", "c", late)}, 3, 2, true},
		{"one data centre silent", twoDCs, []freshness.PeerStatus{status("b1", "b", nil)}, 3, 0, false},
		{"one answer too old", twoDCs, []freshness.PeerStatus{status("b1", "b", nil), status("c1", "c", late)}, freshness.MonoTime(freshness.ViewBound) + 2, 0, false},
		{"log answers one reader", twoDCs, []freshness.PeerStatus{status("b1", "b", nil), status("c1", "c", nil), status("c2", "c", func(s *freshness.PeerStatus) { s.LogAge = 0 })}, 3, 0, false},
		{"former reader has a recent view through the relay", twoDCs, []freshness.PeerStatus{status("b1", "b", nil), status("c1", "c", func(s *freshness.PeerStatus) { s.ViewAge, s.Reader = 0, false })}, 3, 0, false},
		{"former reader does not count for its data centre", twoDCs, []freshness.PeerStatus{status("b1", "b", nil), status("c1", "c", func(s *freshness.PeerStatus) { s.Reader = false })}, 3, 0, false},
		{"log may still answer one reader", twoDCs, []freshness.PeerStatus{status("b1", "b", nil), status("c1", "c", func(s *freshness.PeerStatus) { s.LogFailing = false })}, 3, 0, false},
		{"one reader knows of more records", twoDCs, []freshness.PeerStatus{status("b1", "b", nil), status("c1", "c", func(s *freshness.PeerStatus) { s.Offset = 6 })}, 3, 0, false},
		{"later answer replaces an earlier one", twoDCs, []freshness.PeerStatus{status("b1", "b", late), status("b1", "b", func(s *freshness.PeerStatus) { s.LogAge = 0 }), status("c1", "c", late)}, 3, 2, true},
		{"single data centre", singleDC, []freshness.PeerStatus{status("a1", "a", nil), status("a2", "a", late)}, 3, 1, true},
		{"single data centre, one reader silent", singleDC, []freshness.PeerStatus{status("a1", "a", nil)}, 3, 0, false},
		{"single instance", freshness.Quorum{}, nil, 3, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := freshness.NewOutageDetector()
			for _, answer := range c.answers {
				d.Record(answer)
			}
			at, ok := d.Confirm(c.now, c.quorum)
			is.Equal(ok, c.ok)
			is.True(!ok || at == c.at)
		})
	}
}

// endedRead is the outcome of read number n.
type endedRead struct {
	n int
	o freshness.ReadOutcome
}

// TestLogHealth guards against mistaking a slow log for one that is down (F6).
func TestLogHealth(t *testing.T) {
	for _, c := range []struct {
		name     string
		started  int
		outcomes []endedRead
		after    time.Duration
		fails    bool
	}{
		{"no reads", 0, nil, 0, false},
		{"read failed", 1, []endedRead{{1, freshness.Failed}}, time.Minute, true},
		{"read failed, next read slow", 2, []endedRead{{1, freshness.Failed}}, time.Second, false},
		{"read failed, next read just started", 2, []endedRead{{1, freshness.Failed}}, 100 * time.Millisecond, true},
		{"read timed out, other reads slow", 3, []endedRead{{1, freshness.TimedOut}}, time.Second, true},
		{"older read times out after a newer one was answered", 2, []endedRead{{2, freshness.Answered}, {1, freshness.TimedOut}}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := freshness.NewLogHealth(freshness.New(freshness.ViewBound))
				for n := range c.started {
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

// BenchmarkMayWork measures MayWork, which is called for each request.
func BenchmarkMayWork(b *testing.B) {
	tr := freshness.New(freshness.ViewBound)
	tr.RecordComplete(tr.Now())
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			tr.MayWork()
		}
	})
}

// BenchmarkConfirm measures Confirm by number of data centres, with three readers each.
func BenchmarkConfirm(b *testing.B) {
	for _, centres := range []int{3, 5, 20} {
		b.Run(fmt.Sprintf("%dcentres", centres), func(b *testing.B) {
			d := freshness.NewOutageDetector()
			var quorum freshness.Quorum
			for i := range centres * 3 {
				dc := string(rune('a' + i/3))
				d.Record(freshness.PeerStatus{Instance: string(rune('A' + i)), DataCentre: dc, Sent: 1, Reader: true, LogAge: freshness.UnknownAge, ViewAge: freshness.UnknownAge, LogFailing: true})
				if i%3 == 0 {
					quorum.DataCentres = append(quorum.DataCentres, dc)
				}
			}
			for b.Loop() {
				if _, ok := d.Confirm(2, quorum); !ok {
					b.Fatal("not confirmed")
				}
			}
		})
	}
}
