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

// coldFleet is a view of entry instances before one cold engine with an agent.
func coldFleet(entries int) *fleet.View {
	v := &fleet.View{
		Config:    &fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Name: "s", MaxColdRate: 6.9, Engine: spec()}}},
		Upstreams: map[string]*fleet.Upstream{"i-1": {ID: "i-1", StartedAtMS: 1, Service: "s", Addr: "10.0.0.1:1", ColdLeftMS: 60000, Holdings: &fleet.Holdings{}}},
		Evacuated: map[string]bool{}, Members: map[string]fleet.Member{"agent": {Name: "agent", Role: fleet.RoleAgent, Addr: "agent", UpstreamAddr: "10.0.0.1:1"}},
	}
	for i := range entries {
		name := fmt.Sprint("entry-", i)
		v.Members[name] = fleet.Member{Name: name, Role: fleet.RoleEntry}
	}
	return v
}

// TestColdFleet has a large fleet before a cold engine, as after a loss of power. It guards
// against more requests in any second than the engine bears, from instances that reach
// its agent and from those that do not, also across a restart of the agent, and against
// an engine that stays idle although it bears several requests a second (H8).
func TestColdFleet(t *testing.T) {
	const bound, entries, length = 6.9*1.5 + 5, 103, 12 * time.Second
	for name, tt := range map[string]struct {
		// cutOff is the share of the instances that do not reach the agent.
		cutOff   float64
		restart  bool
		minServe int
	}{
		"all reach the agent":  {0, false, 50},
		"half reach the agent": {0.5, false, 50},
		"none reaches it":      {1, false, 30},
		"agent restarts":       {0.2, true, 40},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				v := coldFleet(entries)
				newAgent := func(first bool) *Agent {
					return New(Options{Service: "s", FirstStart: first, Logger: zap.NewNop(), Config: func() *fleet.Config { return v.Config }, ColdLimit: ColdLimit{Over: 1.5, Slack: 5}})
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
					if tt.restart && round == 300 {
						a = newAgent(false)
					}
					time.Sleep(20 * time.Millisecond)
					for i, p := range pools {
						p.UpdateAgentState("i-1", &agentapi.State{Reachable: true, StartedAtMS: 1, Holdings: &fleet.Holdings{Adapters: map[string][]string{"a": nil}}}, time.Now())
						if send(t, p, a, float64(i) < tt.cutOff*entries) {
							sent = append(sent, time.Now().Add(time.Duration(rng.Int64N(int64(agentapi.PermitTTL)/2))))
						}
					}
				}
				check.True(len(sent) >= tt.minServe)
				for i := range sent {
					n := 0
					for _, at := range sent {
						if d := at.Sub(sent[i]); d >= 0 && d < time.Second {
							n++
						}
					}
					check.True(float64(n) <= bound)
				}
			})
		})
	}
}

// send tries to send a request as gateway does and reports whether it was sent.
func send(t *testing.T, p *upstream.Pool, a *Agent, cutOff bool) bool {
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
	ticket.End(upstream.Served)
	return true
}

// takePermit asks the agent for a permit as gateway does and reports whether it got one.
func takePermit(t *testing.T, p *upstream.Pool, a *Agent, c *upstream.Choice, cutOff bool) bool {
	resp, err := a.ServePermit(t.Context(), agentapi.PermitRequest{Cold: c.Cold, RateLimit: c.RateLimit})
	is.New(t).NoErr(err)
	switch {
	case cutOff:
		p.PermitRefused("i-1", time.Second, true)
		return false
	case !resp.Granted:
		p.PermitRefused("i-1", time.Duration(resp.WaitMS)*time.Millisecond, false)
		return false
	}
	c.Permitted = true
	return true
}
