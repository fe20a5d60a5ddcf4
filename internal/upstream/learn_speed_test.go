package upstream

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// twoEngines returns a pool of two engines that have model m.
func twoEngines() (*fleet.View, *Pool) {
	v := testView(2, 1)
	v.Upstreams["i-1"].Holdings = &fleet.Holdings{Adapters: map[string][]string{"m": nil}}
	return v, newPool(v)
}

// learn lets an attempt at the only engine with the model end after took.
func learn(p *Pool, took time.Duration, status int, a fleet.ResponseAttributes) (firstInvalidLoad bool) {
	q := engineQuery("m", "")
	q.Streams = true
	c, _ := p.Pick(q)
	t, _ := p.Begin(c, q)
	time.Sleep(took)
	t.HeadersReceived(a)
	firstInvalidLoad = t.LearnSpeed(status, a)
	t.End(Served)
	return firstInvalidLoad
}

// TestLearnSpeed guards against speeds that are learned from responses which say nothing of
// them, and against those of an earlier software version.
func TestLearnSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(2, 1)
		p := newPool(v)
		speed := &p.states["i-0"].speed
		known := func() bool { return speed.Observations(time.Now()) > 0 }
		learn(p, time.Millisecond, http.StatusServiceUnavailable, fleet.ResponseAttributes{NotExecuted: true})
		learn(p, time.Millisecond, http.StatusBadGateway, fleet.ResponseAttributes{})
		learn(p, time.Millisecond, http.StatusOK, fleet.ResponseAttributes{Instance: "i-other"})
		check.True(!known())
		check.True(learn(p, time.Second, http.StatusOK, fleet.ResponseAttributes{InvalidLoad: "x"}))
		check.True(known())
		check.True(!learn(p, time.Second, http.StatusOK, fleet.ResponseAttributes{InvalidLoad: "y"})) // logged once
		p.Update(&fleet.View{Config: v.Config, Members: v.Members, Upstreams: map[string]*fleet.Upstream{"i-0": withVersion(v.Upstreams["i-0"], "2")}})
		check.True(!known())
	})
}

func withVersion(u *fleet.Upstream, version string) *fleet.Upstream {
	c := *u
	c.Version = version
	return &c
}

// TestUnansweredAttempt guards against an upstream that counts as fast because only its
// fast responses are learned from.
func TestUnansweredAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(2, 1))
		q := engineQuery("m", "")
		q.Streams = true
		c, _ := p.Pick(q)
		ticket, _ := p.Begin(c, q)
		time.Sleep(3 * time.Second)
		ticket.End(Abandoned)
		again, _ := p.Pick(q)
		check.True(again.Delay > c.Delay)
	})
}

// TestRetest guards against a slow upstream that gets a caller's request which may not run
// twice, or more than a bounded share of the others, to learn whether it is still slow.
func TestRetest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v, p := twoEngines()
		slow := &p.states["i-1"].speed
		q := engineQuery("m", "")
		q.Streams, q.Objective = true, 0
		for range 60 {
			for id, took := range map[string]time.Duration{"i-0": 25 * time.Millisecond, "i-1": 90 * time.Millisecond} {
				ticket, _ := p.Begin(&Choice{Upstream: v.Upstreams[id], UncachedTokens: 1000}, q)
				time.Sleep(took)
				ticket.LearnSpeed(http.StatusOK, fleet.ResponseAttributes{})
				ticket.End(Served)
			}
		}
		time.Sleep(10 * time.Second)
		check.True(slow.RetestDue(time.Now()))
		count := func(repeatable bool) (n int) {
			q.Repeatable = repeatable
			for range 500 {
				if c, _ := p.Pick(q); c.Upstream.ID == "i-1" {
					n++
				}
			}
			return n
		}
		check.Equal(count(false), 0)
		n := count(true)
		check.True(n > 0 && n <= int(500*retestShare)+1)
	})
}

// TestPausePenalty guards against a stream that goes to an engine whose streams pause while
// another has none.
func TestPausePenalty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		_, p := twoEngines()
		q := engineQuery("m", "")
		c, _ := p.Pick(q)
		ticket, _ := p.Begin(c, q)
		for range 2 {
			ticket.EventsReceived(1, time.Now())
			time.Sleep(400 * time.Millisecond)
		}
		ticket.EventsReceived(1, time.Now())
		ticket.End(Served)
		same, _ := p.Pick(q)
		check.Equal(same.Upstream.ID, c.Upstream.ID) // its prompt is kept there
		q.EventInterval = 200 * time.Millisecond
		other, _ := p.Pick(q)
		check.True(other.Upstream.ID != c.Upstream.ID)
	})
}

// TestSuspectedUpstream guards against a request that may run only once and tests whether an
// upstream that failed lately has recovered.
func TestSuspectedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		_, p := twoEngines()
		q := engineQuery("m", "")
		best, _ := p.Pick(q)
		for range suspectFailures {
			ticket, _ := p.Begin(best, q)
			ticket.End(Errored)
		}
		time.Sleep(suspectTime - time.Second) // its failure rate has decayed
		other, _ := p.Pick(q)
		check.True(other.Upstream.ID != best.Upstream.ID)
		q.Repeatable = true
		again, _ := p.Pick(q)
		check.Equal(again.Upstream.ID, best.Upstream.ID)
	})
}
