package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestOverload replays more prompts for a model than its only engine reads. It
// guards against queues in which every request passes its deadline, against less
// urgent requests being served before more urgent ones, against a stream that is
// cut for it, and against long prompts that are refused sooner than short ones.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(1, 1))
		const prompt = 4000 // 100 ms
		var engine, worst time.Duration
		served, refused := make([]int, 3), make([]int, 3)
		for i := range 600 { // 20 a second
			time.Sleep(50 * time.Millisecond)
			engine = max(0, engine-50*time.Millisecond)
			q := engineQuery("m", "")
			q.TokensIn, q.Urgency = prompt, i%3
			c, s := p.Pick(q)
			if c == nil {
				check.True(s.Overloaded)
				check.True(s.After > 0)
				refused[q.Urgency]++
				continue
			}
			served[q.Urgency]++
			ticket, _ := p.Begin(c, q)
			engine += 100 * time.Millisecond
			worst = max(worst, engine)
			time.AfterFunc(engine, func() { ticket.Answered(fleet.ResponseAttributes{}); ticket.End(Served) })
		}
		check.True(worst <= 2*objective)
		check.True(served[0]+served[1]+served[2] >= 280) // the engine reads 300 in this time
		check.True(served[0] > served[1] && served[1] > served[2])
		check.True(refused[0] < refused[2])

		q := engineQuery("m", "")
		q.TokensIn, q.Urgency, q.Begun = prompt, 2, true
		c, _ := p.Pick(q)
		check.True(c != nil)
		time.Sleep(10 * time.Second) // idle
		q.Begun, q.TokensIn = false, 40*prompt
		c, _ = p.Pick(q)
		check.True(c != nil)
	})
}

// TestRecoveredUpstream replays an upstream that fails everything for some
// seconds while its health is good. It guards against requests that go on to it
// while others are well, and against an upstream that is never used again.
func TestRecoveredUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(2, 1)
		for _, u := range v.Upstreams {
			u.Service, u.DataCentre, u.Capacity = "p", "z0", 4
		}
		p := newPool(v)
		play := func(span time.Duration, sick string) (failed, atSick int) {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				q := &Query{Service: "p", DataCentre: "z0", Tried: map[string]bool{}}
				c, _ := p.Pick(q)
				ticket, _ := p.Begin(c, q)
				time.AfterFunc(30*time.Millisecond, func() {
					if c.Upstream.ID == sick {
						ticket.End(Errored)
						return
					}
					ticket.End(Served)
				})
				if c.Upstream.ID == "i-0" {
					atSick++
				}
				if c.Upstream.ID == sick {
					failed++
				}
			}
			return failed, atSick
		}
		failed, _ := play(6*time.Second, "i-0")
		check.True(failed < 15) // of 300
		_, _ = play(15*time.Second, "")
		_, at := play(4*time.Second, "")
		check.True(at > 40) // of 200
	})
}

// TestFailingHolder guards against a request that is refused because the only
// engine with its model has failed before; nobody would find it well again.
func TestFailingHolder(t *testing.T) {
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
