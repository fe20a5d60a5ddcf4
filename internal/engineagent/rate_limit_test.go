package engineagent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// The platform's bound of requests to an upstream that names a limit, over all instances:
// in limitBoundWindow, limitOver times the limit and limitSlack requests.
const (
	limitBoundWindow = 4 * time.Second
	limitOver        = 1.5
	limitSlack       = 5.0
)

// TestUpstreamGetsMoreThanItsNamedLimit has entry instances before an engine that names how
// many requests a second it takes from all of them together. It guards against instances
// that ignore the limit or that each keep it alone, whether or not they reach the engine's
// agent and across its restart, and against an engine that is left idle.
func TestUpstreamGetsMoreThanItsNamedLimit(t *testing.T) {
	const length = 20 * time.Second
	for _, entries := range []int{1, 4, 28, 103} {
		for _, limit := range []float64{0.3, 1, 2.8, 12} {
			for name, tt := range map[string]struct {
				// cutOff is the share of the instances that do not reach the agent.
				cutOff  float64
				restart bool
				// minServe is the share of the limit that must be used.
				minServe float64
			}{
				"all reach the agent":  {0, false, 0.8},
				"half reach the agent": {0.5, false, 0.2},
				"none reaches it":      {1, false, 0.2},
				"agent restarts":       {0, true, 0.6},
			} {
				t.Run(fmt.Sprintf("%d/%v/%s", entries, limit, name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						check := is.New(t)
						v := coldFleet(entries)
						v.Upstreams["i-1"].ColdLeftMS = 0
						v.Upstreams["i-1"].Holdings.Adapters = map[string][]string{"a": nil}
						engine := newFakeEngine("a")
						engine.report.RateLimit = limit
						newAgent := func(first bool) *Agent {
							a := New(Options{Service: "s", Engine: engine, FirstStart: first, Logger: zap.NewNop(), Config: func() *fleet.Config { return v.Config }, ColdLimit: ColdLimit{Over: 1.5, Slack: 5}})
							a.reconcile(t.Context())
							return a
						}
						a := newAgent(true)
						rng := rand.New(rand.NewPCG(1, 1))
						pools := make([]*upstream.Pool, entries)
						for i := range pools {
							pools[i] = upstream.NewPool(fmt.Sprint("entry-", i), "", upstream.Bounds{ColdOver: 1.5, ColdSlack: 5})
							pools[i].Update(v)
						}
						var sent []time.Time
						start := time.Now()
						for round := 0; time.Since(start) < length; round++ {
							if tt.restart && round%300 == 299 {
								a = newAgent(false)
							}
							time.Sleep(20 * time.Millisecond)
							for i, p := range pools {
								cut := float64(i) < tt.cutOff*float64(entries)
								if !cut && round%10 == 0 {
									st := a.State()
									p.UpdateAgentState("i-1", &st, time.Now())
								}
								if sendLimited(t, p, a, cut, limit) {
									sent = append(sent, time.Now().Add(time.Duration(rng.Int64N(int64(agentapi.PermitTTL)/2))))
								}
							}
						}
						inForce := 0
						for i := range sent {
							// Before that, instances still learn of the limit.
							if sent[i].Before(start.Add(time.Second)) {
								continue
							}
							inForce++
							n := 0
							for _, at := range sent {
								if d := at.Sub(sent[i]); d >= 0 && d < limitBoundWindow {
									n++
								}
							}
							check.True(float64(n) <= limitOver*limit*limitBoundWindow.Seconds()+limitSlack)
						}
						check.True(float64(inForce) >= tt.minServe*limit*(length-time.Second).Seconds()-1)
					})
				})
			}
		}
	}
}

// sendLimited tries to send a request as gateway does, to an upstream that names limit in
// its answer, and reports whether it was sent.
func sendLimited(t *testing.T, p *upstream.Pool, a *Agent, cutOff bool, limit float64) bool {
	q := &upstream.Query{Service: "s", Model: "a", TokensIn: 100, Objective: time.Second, Tried: map[string]bool{}}
	c, _ := p.Pick(q)
	if c == nil {
		return false
	}
	if c.NeedsPermit && !takePermit(t, p, a, c, cutOff) {
		return false
	}
	ticket, _ := p.Begin(c, q)
	if ticket == nil {
		return false
	}
	ticket.HeadersReceived(fleet.ResponseAttributes{RateLimit: limit})
	ticket.End(upstream.Served)
	return true
}
