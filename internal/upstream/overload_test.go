package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestOverload sends more prompts for a model than its only engine can read. It
// guards against queues in which every request passes its deadline, less urgent
// requests served before more urgent ones, a refusal after the response has
// started, and long prompts refused sooner than short ones.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(1, 1))
		const prompt = 4000 // takes 100 ms to read
		var backlog, maxBacklog time.Duration
		served, refused := make([]int, 3), make([]int, 3)
		for i := range 600 { // 20 per second
			time.Sleep(50 * time.Millisecond)
			backlog = max(0, backlog-50*time.Millisecond)
			q := engineQuery("m", "")
			q.TokensIn, q.Urgency = prompt, i%3
			c, unavailable := p.Pick(q)
			if c == nil {
				over, ok := unavailable.Obstacle.(Overloaded)
				check.True(ok && over.RetryAfter > 0)
				refused[q.Urgency]++
				continue
			}
			served[q.Urgency]++
			ticket, _ := p.Begin(c, q)
			backlog += 100 * time.Millisecond
			maxBacklog = max(maxBacklog, backlog)
			time.AfterFunc(backlog, func() { ticket.HeadersReceived(fleet.ResponseAttributes{}); ticket.End(Served) })
		}
		check.True(maxBacklog <= 2*objective)
		check.True(served[0]+served[1]+served[2] >= 280) // the engine can read 300 in this time
		check.True(served[0] > served[1] && served[1] > served[2])
		check.True(refused[0] < refused[2])

		q := engineQuery("m", "")
		q.TokensIn, q.Urgency, q.ResponseStarted = prompt, 2, true
		c, _ := p.Pick(q)
		check.True(c != nil)
		time.Sleep(10 * time.Second) // the queue empties
		q.ResponseStarted, q.TokensIn = false, 40*prompt
		c, _ = p.Pick(q)
		check.True(c != nil)
	})
}

// TestRecoveredUpstream has an upstream that fails every request for some
// seconds while it reports that it is healthy. It guards against requests that
// keep going to it while others work, and against an upstream that is never
// used again after it has recovered.
func TestRecoveredUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(2, 1)
		for _, u := range v.Upstreams {
			u.Service, u.DataCentre, u.Capacity = "p", "z0", 4
		}
		p := newPool(v)
		run := func(span time.Duration, failingID string) (failed, toFirst int) {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				q := &Query{Service: "p", DataCentre: "z0", Tried: map[string]bool{}}
				c, _ := p.Pick(q)
				ticket, _ := p.Begin(c, q)
				time.AfterFunc(30*time.Millisecond, func() {
					if c.Upstream.ID == failingID {
						ticket.End(Errored)
						return
					}
					ticket.End(Served)
				})
				if c.Upstream.ID == "i-0" {
					toFirst++
				}
				if c.Upstream.ID == failingID {
					failed++
				}
			}
			return failed, toFirst
		}
		failed, _ := run(6*time.Second, "i-0")
		check.True(failed < 15) // of 300
		_, _ = run(15*time.Second, "")
		_, toFirst := run(4*time.Second, "")
		check.True(toFirst > 40) // of 200
	})
}

// TestOnlyEngineFailing guards against a refusal because the only engine with
// the model has failed before: without requests nothing would notice that it
// has recovered.
func TestOnlyEngineFailing(t *testing.T) {
	check := is.New(t)
	p := newPool(testView(1, 1))
	for range 20 {
		q := engineQuery("m", "")
		c, _ := p.Pick(q)
		check.True(c != nil)
		ticket, _ := p.Begin(c, q)
		ticket.End(Errored)
	}
}
