package upstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

const objective = 800 * time.Millisecond

// testView returns a view of n engines with agents, and of as many entry
// instances as entries says. Engine i-0 has model m loaded, every engine has m
// and d on disk, only i-1 has d in memory, and no engine has r.
func testView(n, entries int) *fleet.View {
	v := &fleet.View{
		Upstreams: make(map[string]*fleet.Upstream), Evacuated: make(map[string]bool), Members: make(map[string]fleet.Member),
		Config: &fleet.Config{Version: 1, Services: map[string]fleet.Service{
			"e": {Name: "e", MaxColdRate: 6.9, Engine: &fleet.Engine{MemoryMB: 100, MaxAdapters: 4, Models: map[string]fleet.Model{
				"m": {Name: "m", StoreLoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond},
				"d": {Name: "d", StoreLoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond},
				"r": {Name: "r", StoreLoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond},
			}}},
			"p": {Name: "p"},
		}},
	}
	for i := range n {
		id := fmt.Sprintf("i-%d", i)
		h := &fleet.Holdings{Adapters: map[string][]string{}, OnDisk: []string{"d", "m"}}
		if i == 0 {
			h.Adapters["m"] = []string{"a1"}
		}
		if i == 1 {
			h.InMemory = []string{"d"}
		}
		v.Upstreams[id] = &fleet.Upstream{ID: id, StartedAtMS: 1, Service: "e", Addr: fmt.Sprintf("10.0.0.%d:1", i+1), DataCentre: fmt.Sprintf("z%d", i%3), Capacity: 64, Holdings: h}
		v.Members["a-"+id] = fleet.Member{Name: "a-" + id, Role: fleet.RoleAgent, Addr: fmt.Sprintf("10.0.0.%d:2", i+1), UpstreamAddr: v.Upstreams[id].Addr}
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		v.Members[name] = fleet.Member{Name: name, Role: fleet.RoleEntry}
	}
	return v
}

func newPool(v *fleet.View) *Pool {
	return newPoolFor("entry-0", v)
}

func newPoolFor(self string, v *fleet.View) *Pool {
	p := NewPool(self, "z0", Bounds{ColdOver: 1.5, ColdSlack: 5})
	p.Update(v)
	return p
}

func engineQuery(model, adapter string) *Query {
	return &Query{Service: "e", Model: model, Adapter: adapter, TokensIn: 1000, Objective: objective, DataCentre: "z0", Tried: make(map[string]bool)}
}

// TestLoadedModelPreferred guards against loading a model that an engine
// already has loaded.
func TestLoadedModelPreferred(t *testing.T) {
	check := is.New(t)
	p := newPool(testView(4, 1))
	c, _ := p.Pick(engineQuery("m", ""))
	check.Equal(c.Upstream.ID, "i-0")
	check.True(!c.NeedsLoad)
	c, _ = p.Pick(engineQuery("m", "a1"))
	check.True(!c.NeedsLoad)
	c, _ = p.Pick(engineQuery("m", "a2"))
	check.Equal(c.Upstream.ID, "i-0")
	check.True(c.NeedsLoad) // the adapter is not loaded
}

// TestFastestLoad guards against a load from the weight store while an engine
// has the weights in memory or on disk, and against entry instances that ask
// different engines to load the same model.
func TestFastestLoad(t *testing.T) {
	check := is.New(t)
	v := testView(6, 1)
	c, _ := newPool(v).Pick(engineQuery("d", ""))
	check.Equal(c.Upstream.ID, "i-1") // in memory
	check.True(c.NeedsLoad)
	c, unavailable := newPool(v).Pick(engineQuery("r", "")) // only in the weight store
	check.True(c == nil)
	pending, ok := unavailable.Obstacle.(LoadPending)
	check.True(ok && pending.RetryAfter >= 6*time.Second && pending.PollAfter > 0)
}

// TestLoadInProgress guards against a second load of a model that another
// engine is already loading.
func TestLoadInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(4, 1))
		p.UpdateAgentState("i-3", &agentapi.State{Reachable: true, StartedAtMS: 1, Loading: "r", LoadRemainingMS: 2000, Holdings: &fleet.Holdings{}}, time.Now())
		c, _ := p.Pick(engineQuery("r", ""))
		check.Equal(c.Upstream.ID, "i-3")
	})
}

// TestReplica guards against a burst for one model that queues at its only
// engine while others are idle, against copies of a model under low load, and
// against requesting a copy with every request.
func TestReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(4, 1))
		q := engineQuery("m", "")
		q.TokensIn = 9000
		q.Objective = 3 * time.Second
		p.RecordRequest(q)
		c, _ := p.Pick(q)
		check.True(c.Replica == nil)
		q.Objective = objective
		for range 3 {
			p.RecordRequest(q)
			c, _ := p.Pick(q)
			ticket, _ := p.Begin(c, q)
			check.True(ticket != nil)
		}
		time.Sleep(replicaInterval)
		c, _ = p.Pick(q)
		check.Equal(c.Upstream.ID, "i-0")
		check.True(c.Replica != nil)
		check.True(c.Replica.Upstream.ID != "i-0")
		check.True(c.Replica.Demand > 0)
		c, _ = p.Pick(q)
		check.True(c.Replica == nil)
	})
}

// TestReplicaForSteadyDemand guards against prompts that take so much of one
// engine's time that the events of its streams come too far apart, although no
// request waits long.
func TestReplicaForSteadyDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(4, 1))
		q := engineQuery("m", "")
		q.TokensIn = 9000
		copies := 0
		for range 60 {
			p.RecordRequest(q)
			c, _ := p.Pick(q)
			if c.Replica != nil {
				copies++
			}
			time.Sleep(300 * time.Millisecond)
		}
		check.True(copies > 5)
	})
}

// TestPrefixAffinity guards against sending a prompt to an engine without its
// cached prefix.
func TestPrefixAffinity(t *testing.T) {
	check := is.New(t)
	v := testView(4, 1)
	for _, u := range v.Upstreams {
		u.Holdings.Adapters["m"] = nil
		u.DataCentre = "z0"
	}
	p := newPool(v)
	q := engineQuery("m", "")
	q.TokensIn, q.Prompt = 9000, []fleet.PromptPart{{ID: "a", Tokens: 2500}, {ID: "b", Tokens: 3800}, {ID: "c", Tokens: 2700}}
	first, _ := p.Pick(q)
	ticket, _ := p.Begin(first, q)
	ticket.End(Served)
	q.Prompt = []fleet.PromptPart{{ID: "a", Tokens: 2500}, {ID: "b", Tokens: 3800}, {ID: "d", Tokens: 2700}}
	c, _ := p.Pick(q)
	check.Equal(c.Upstream.ID, first.Upstream.ID)
	check.Equal(c.UncachedTokens, 9000-2500-3800)
}

// TestUnusableUpstreams guards against requests to an upstream that is
// draining, evacuated, replaced or unreachable (H9, H13).
func TestUnusableUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		for name, change := range map[string]func(*fleet.View, *Pool){
			"draining":   func(v *fleet.View, _ *Pool) { v.Upstreams["i-0"].Draining = true },
			"evacuated":  func(v *fleet.View, _ *Pool) { v.Evacuated["z0"] = true },
			"not listed": func(v *fleet.View, _ *Pool) { delete(v.Upstreams, "i-0") },
			"replaced, per instance list": func(v *fleet.View, _ *Pool) {
				u := *v.Upstreams["i-0"]
				u.ID, u.StartedAtMS, u.Holdings = "i-new", 2, &fleet.Holdings{}
				v.Upstreams["i-new"] = &u
				v.Members = nil
			},
			"replaced, reported by its agent": func(_ *fleet.View, p *Pool) {
				p.UpdateAgentState("i-0", &agentapi.State{Reachable: true, StartedAtMS: 2, Holdings: &fleet.Holdings{}}, time.Now())
			},
			"draining, reported by its agent": func(_ *fleet.View, p *Pool) {
				p.UpdateAgentState("i-0", &agentapi.State{Reachable: true, StartedAtMS: 1, Draining: true, Holdings: &fleet.Holdings{}}, time.Now())
			},
		} {
			p := newPool(testView(1, 1))
			c, _ := p.Pick(engineQuery("m", ""))
			check.True(c != nil)
			v := testView(1, 1)
			change(v, p)
			p.Update(v)
			got, _ := p.Pick(engineQuery("m", ""))
			if got != nil && got.Upstream.ID == "i-0" {
				t.Fatalf("%s: unusable upstream was chosen", name)
			}
			if ticket, _ := p.Begin(c, engineQuery("m", "")); ticket != nil {
				t.Fatalf("%s: Begin accepted an outdated choice", name)
			}
		}
		for name, report := range map[string]func(*Pool){
			"machine unresponsive": func(p *Pool) { p.AgentUnreachable("i-0", true) },
			"engine unresponsive":  func(p *Pool) { p.UpdateAgentState("i-0", &agentapi.State{}, time.Now()) },
		} {
			p := newPool(testView(1, 1))
			q := engineQuery("m", "")
			c, _ := p.Pick(q)
			ticket, _ := p.Begin(c, q)
			report(p)
			if got, _ := p.Pick(q); got != nil || !p.Unresponsive("i-0") {
				t.Fatalf("%s: unusable upstream was chosen", name)
			}
			time.Sleep(time.Millisecond)
			ticket.DataReceived(1)
			got, _ := p.Pick(q)
			check.True(got != nil) // the engine responds although its agent does not
		}
		p := newPool(testView(1, 1))
		q := engineQuery("m", "")
		c, _ := p.Pick(q)
		p.AgentUnreachable("i-0", false)
		check.True(!p.Unresponsive("i-0")) // only the agent process is gone
		ticket, _ := p.Begin(c, q)
		ticket.End(Unreachable)
		c, _ = p.Pick(q)
		check.True(c == nil)
		time.Sleep(baseEjectionTime)
		c, _ = p.Pick(q)
		check.True(c != nil)
	})
}

// TestPlainUpstreams guards against requests that queue at one upstream of a
// service without models while others are idle, and against sending most
// requests to an upstream that fails them all.
func TestPlainUpstreams(t *testing.T) {
	check := is.New(t)
	v := testView(0, 1)
	for i := range 3 {
		id := fmt.Sprintf("p-%d", i)
		v.Upstreams[id] = &fleet.Upstream{ID: id, Service: "p", Addr: fmt.Sprintf("10.0.1.%d:1", i), DataCentre: "z0", Capacity: 6}
	}
	p := newPool(v)
	got := make(map[string]int)
	for range 30 {
		q := &Query{Service: "p", Tried: map[string]bool{}, DataCentre: "z0"}
		c, _ := p.Pick(q)
		got[c.Upstream.ID]++
		_, _ = p.Begin(c, q)
	}
	check.Equal(len(got), 3)
	for _, n := range got {
		check.Equal(n, 10)
	}
	p = newPool(v)
	for range 40 {
		q := &Query{Service: "p", Tried: map[string]bool{}, DataCentre: "z0"}
		c, _ := p.Pick(q)
		ticket, _ := p.Begin(c, q)
		if c.Upstream.ID == "p-0" {
			ticket.End(Errored)
			got["failed"]++
			continue
		}
		ticket.End(Served)
	}
	check.True(got["failed"] < 8) // most requests go to upstreams that work
}

// TestMissingAndLoaded guards against sending requests to an engine that has
// just reported the model missing, before its next report.
func TestMissingAndLoaded(t *testing.T) {
	check := is.New(t)
	p := newPool(testView(2, 1))
	p.MarkMissing("i-0", "m", "")
	c, _ := p.Pick(engineQuery("m", ""))
	check.True(c.NeedsLoad)
	p.MarkLoaded("i-1", "m", "")
	c, _ = p.Pick(engineQuery("m", ""))
	check.Equal(c.Upstream.ID, "i-1")
	check.True(!c.NeedsLoad)
	p.MarkLoaded("i-1", "m", "a9")
	c, _ = p.Pick(engineQuery("m", "a9"))
	check.True(!c.NeedsLoad)
	p.MarkMissing("i-1", "m", "a9")
	c, _ = p.Pick(engineQuery("m", "a9"))
	check.True(c.NeedsLoad)
}

// TestDemand guards against an agent that is not told which of its models are
// in use.
func TestDemand(t *testing.T) {
	check := is.New(t)
	p := newPool(testView(2, 1))
	q := engineQuery("m", "a1")
	p.RecordRequest(q)
	c, _ := p.Pick(q)
	ticket, _ := p.Begin(c, q)
	byName := make(map[string]agentapi.Demand)
	for _, d := range p.Demand("i-0") {
		byName[d.Name] = d
	}
	check.Equal(byName["m/a1"].InFlight, 1)
	check.Equal(byName["m/a1"].Sent, 1)
	check.Equal(byName["m/a1"].Copies, 1)
	check.True(byName["m"].Requested > 0.9)
	ticket.End(Served)
	for _, d := range p.Demand("i-0") {
		check.Equal(d.InFlight, 0)
		check.Equal(d.Sent, 0)
	}
}

// TestRestartWithAttempts guards against attempts at the instance before a restart that
// count as running at the one after it for good, so that it looks loaded and its state is
// never dropped.
func TestRestartWithAttempts(t *testing.T) {
	check := is.New(t)
	v := testView(1, 1)
	p := newPool(v)
	c, _ := p.Pick(engineQuery("m", ""))
	ticket, _ := p.Begin(c, engineQuery("m", ""))
	restarted := testView(1, 1)
	restarted.Upstreams["i-0"].StartedAtMS = 2
	p.Update(restarted)
	check.Equal(p.InFlight("i-0"), 0)
	ticket.End(Broken)
	check.Equal(p.InFlight("i-0"), 0)
	delete(restarted.Upstreams, "i-0")
	p.Update(restarted)
	check.Equal(len(p.states), 0)
}
