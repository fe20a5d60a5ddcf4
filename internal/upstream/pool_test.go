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

// testView has n engines with agents and entries entry instances. Engine i-0
// holds model m, every engine has m and d on disk, only i-1 has d in memory, and
// no engine has r.
func testView(n, entries int) *fleet.View {
	v := &fleet.View{
		Upstreams: make(map[string]*fleet.Upstream), Evacuated: make(map[string]bool), Members: make(map[string]fleet.Member),
		Config: &fleet.Config{Version: 1, Services: map[string]fleet.Service{
			"e": {Name: "e", ColdRate: 6.9, Engine: &fleet.Engine{WeightsMB: 100, MaxAdapters: 4, Models: map[string]fleet.Model{
				"m": {Name: "m", FromStore: 6 * time.Second, FromDisk: 800 * time.Millisecond, FromMemory: 400 * time.Millisecond},
				"d": {Name: "d", FromStore: 6 * time.Second, FromDisk: 800 * time.Millisecond, FromMemory: 400 * time.Millisecond},
				"r": {Name: "r", FromStore: 6 * time.Second, FromDisk: 800 * time.Millisecond, FromMemory: 400 * time.Millisecond},
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
		v.Upstreams[id] = &fleet.Upstream{ID: id, Born: 1, Service: "e", Addr: fmt.Sprintf("10.0.0.%d:1", i+1), DataCentre: fmt.Sprintf("z%d", i%3), Capacity: 64, Holdings: h}
		v.Members["a-"+id] = fleet.Member{Name: "a-" + id, Role: fleet.RoleAgent, Addr: fmt.Sprintf("10.0.0.%d:2", i+1), UpstreamAddr: v.Upstreams[id].Addr}
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		v.Members[name] = fleet.Member{Name: name, Role: fleet.RoleEntry}
	}
	return v
}

func newPool(v *fleet.View) *Pool {
	return newPoolOf("entry-0", v)
}

func newPoolOf(self string, v *fleet.View) *Pool {
	p := NewPool(self, "z0", Bounds{ColdOver: 1.5, ColdSlack: 5})
	p.Update(v)
	return p
}

func engineQuery(model, adapter string) *Query {
	return &Query{Service: "e", Model: model, Adapter: adapter, TokensIn: 1000, Objective: objective, DataCentre: "z0", Tried: make(map[string]bool)}
}

// TestHolderFirst guards against a load of a model that an engine holds.
func TestHolderFirst(t *testing.T) {
	check := is.New(t)
	p := newPool(testView(4, 1))
	c, _ := p.Pick(engineQuery("m", ""))
	check.Equal(c.Upstream.ID, "i-0")
	check.True(!c.Load)
	c, _ = p.Pick(engineQuery("m", "a1"))
	check.True(!c.Load)
	c, _ = p.Pick(engineQuery("m", "a2"))
	check.Equal(c.Upstream.ID, "i-0")
	check.True(c.Load) // the adapter is missing
}

// TestLoadWhereFastest guards against a load from the weight store while an
// engine has the weights at hand, and against entry instances that ask different
// engines for one model.
func TestLoadWhereFastest(t *testing.T) {
	check := is.New(t)
	v := testView(6, 1)
	c, _ := newPool(v).Pick(engineQuery("d", ""))
	check.Equal(c.Upstream.ID, "i-1") // in memory
	check.True(c.Load)
	c, s := newPool(v).Pick(engineQuery("r", "")) // only in the weight store
	check.True(c == nil)
	check.True(s.Load && s.After >= 6*time.Second && s.Again > 0)
}

// TestLoadInProgress guards against a second load of a model that is being
// loaded elsewhere.
func TestLoadInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(4, 1))
		p.Heard("i-3", &agentapi.State{Known: true, Born: 1, Loading: "r", LoadingLeftMS: 2000, Holdings: &fleet.Holdings{}})
		c, _ := p.Pick(engineQuery("r", ""))
		check.Equal(c.Upstream.ID, "i-3")
	})
}

// TestReplica guards against a burst for one model that queues at its only
// engine while others idle, against copies for a model in calm use, and against
// a request for a copy with every request.
func TestReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(4, 1))
		q := engineQuery("m", "")
		q.TokensIn = 9000
		q.Objective = 3 * time.Second
		p.Asked(q)
		c, _ := p.Pick(q)
		check.True(c.Replica == nil)
		q.Objective = objective
		for range 3 {
			p.Asked(q)
			c, _ := p.Pick(q)
			ticket, _ := p.Begin(c, q)
			check.True(ticket != nil)
		}
		time.Sleep(replicaPause)
		c, _ = p.Pick(q)
		check.Equal(c.Upstream.ID, "i-0")
		check.True(c.Replica != nil)
		check.True(c.Replica.Upstream.ID != "i-0")
		check.True(c.Replica.Worth > 0)
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
			p.Asked(q)
			c, _ := p.Pick(q)
			if c.Replica != nil {
				copies++
			}
			time.Sleep(300 * time.Millisecond)
		}
		check.True(copies > 5)
	})
}

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
			time.AfterFunc(engine, func() { ticket.Answered(fleet.Answer{}); ticket.End(Served) })
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

// TestStoreReplica guards against a model that has become busy and stays at the
// few engines that had it before, and against such loads in calm use or while an
// engine has it on disk.
func TestStoreReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(4, 1))
		hear := func(onDisk ...string) {
			for i := range 4 {
				h := &fleet.Holdings{Adapters: map[string][]string{"d": nil, "r": nil}, OnDisk: onDisk}
				if i == 0 {
					h.Adapters["m"] = nil
				}
				p.Heard(fmt.Sprintf("i-%d", i), &agentapi.State{Known: true, Born: 1, Holdings: h})
			}
		}
		ask := func(n int) {
			q := engineQuery("m", "")
			q.TokensIn = 9000
			for range n {
				p.Asked(q)
			}
		}
		hear()
		ask(5)
		check.Equal(len(p.StoreLoads()), 0)
		ask(60)
		hear("m")
		check.Equal(len(p.StoreLoads()), 0) // a load from disk will do
		hear()
		got := p.StoreLoads()
		check.Equal(len(got), 1)
		check.Equal(got[0].Model, "m")
		check.True(got[0].AgentAddr != "10.0.0.1:2") // has it
		check.True(got[0].Worth > 10)
	})
}

// TestStoreLoads guards against a model whose first request waits for the weight
// store, and against loads of models that a silent agent may have.
func TestStoreLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(3, 1))
		check.Equal(len(p.StoreLoads()), 0) // no agent was heard
		for i := range 3 {
			st := &agentapi.State{Known: true, Born: 1, Holdings: &fleet.Holdings{Adapters: map[string][]string{"m": nil}}}
			if i == 2 {
				st.Holdings.OnDisk = []string{"d"}
			}
			p.Heard(fmt.Sprintf("i-%d", i), st)
		}
		got := p.StoreLoads()
		check.Equal(len(got), 1)
		check.Equal(got[0].Model, "r")
		p.Heard("i-1", &agentapi.State{Known: true, Born: 1, Loading: "r", Holdings: &fleet.Holdings{}})
		check.Equal(len(p.StoreLoads()), 0)
		// The engine with the only copy crashes and is back with its disk.
		p.Heard("i-2", &agentapi.State{Known: true, Born: 2, Holdings: &fleet.Holdings{}})
		check.Equal(len(p.StoreLoads()), 0)
		time.Sleep(lostGrace + time.Millisecond)
		for i := range 3 {
			p.Heard(fmt.Sprintf("i-%d", i), &agentapi.State{Known: true, Born: 1, Holdings: &fleet.Holdings{}})
		}
		check.True(len(p.StoreLoads()) > 0)
	})
}

// fleetOfStore has n engines that load from the weight store one after the
// other, and entries that decide on these loads. run plays a time in steps and
// returns the most loads at once and the models loaded.
type fleetOfStore struct {
	pools  []*Pool
	n      int
	atOnce float64
	left   []time.Duration
	began  []time.Time
	doing  []string
	has    []map[string][]string
	slow   []float64
}

func newFleetOfStore(n, entries, models int, atOnce float64) *fleetOfStore {
	f := &fleetOfStore{n: n, atOnce: atOnce, left: make([]time.Duration, n), began: make([]time.Time, n), doing: make([]string, n), has: make([]map[string][]string, n), slow: make([]float64, n)}
	v := testView(n, entries)
	spec := v.Config.Services["e"].Engine
	for m := range spec.Models {
		delete(spec.Models, m)
	}
	for i := range models {
		name := fmt.Sprintf("s%d", i)
		spec.Models[name] = fleet.Model{Name: name, FromStore: 8 * time.Second}
	}
	for i := range n {
		f.has[i] = map[string][]string{}
	}
	for i := range entries {
		f.pools = append(f.pools, newPoolOf(fmt.Sprintf("entry-%d", i), v))
	}
	return f
}

func (f *fleetOfStore) step(d time.Duration) int {
	running := 0
	for _, m := range f.doing {
		if m != "" {
			running++
		}
	}
	for i, m := range f.doing {
		if m == "" {
			continue
		}
		f.left[i] -= time.Duration(float64(d) * min(1, f.atOnce/float64(running)))
		if f.left[i] <= 0 {
			f.has[i][m], f.doing[i] = nil, ""
			f.slow[i] = time.Since(f.began[i]).Seconds() / 8
		}
	}
	for _, p := range f.pools {
		for i := range f.n {
			p.Heard(fmt.Sprintf("i-%d", i), &agentapi.State{Known: true, Born: 1, Loading: f.doing[i], StoreLoad: f.doing[i] != "", StoreSlowdown: f.slow[i], Holdings: &fleet.Holdings{Adapters: f.has[i]}})
		}
	}
	for _, p := range f.pools {
		for _, u := range p.StoreLoads() {
			var i int
			_, _ = fmt.Sscanf(u.AgentAddr, "10.0.0.%d:2", &i)
			if i--; f.doing[i] == "" {
				f.doing[i], f.left[i], f.began[i] = u.Model, 8*time.Second, time.Now()
			}
		}
	}
	time.Sleep(d)
	return running
}

// TestStoreLoadsAtOnce guards against the loss of many engines turning all others
// into engines that load from the weight store for a minute, and against a store
// that serves more at once being left idle.
func TestStoreLoadsAtOnce(t *testing.T) {
	for _, atOnce := range []int{1, 2, 4, 8} {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			f := newFleetOfStore(40, 22, 30, float64(atOnce))
			most, loaded := 0, 0
			const span, step = 120 * time.Second, 125 * time.Millisecond
			for range span / step {
				running := f.step(step)
				most = max(most, running)
			}
			for _, h := range f.has {
				loaded += len(h)
			}
			check.True(most <= max(firstStoreLimit, atOnce)+1)
			// Full speed from the second load on, less the time until the limit is learned.
			check.True(loaded >= min(30, 6*atOnce+atOnce))
		})
	}
}

// TestPrefix guards against a prompt that is read again at another engine.
func TestPrefix(t *testing.T) {
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
	check.Equal(c.Uncached, 9000-2500-3800)
}

// TestUnusable guards against work for an upstream that leaves, is out, was
// replaced or cannot be reached (H9, H13).
func TestUnusable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		for name, change := range map[string]func(*fleet.View, *Pool){
			"draining":   func(v *fleet.View, _ *Pool) { v.Upstreams["i-0"].Draining = true },
			"evacuated":  func(v *fleet.View, _ *Pool) { v.Evacuated["z0"] = true },
			"not listed": func(v *fleet.View, _ *Pool) { delete(v.Upstreams, "i-0") },
			"replaced, as listed": func(v *fleet.View, _ *Pool) {
				u := *v.Upstreams["i-0"]
				u.ID, u.Born, u.Holdings = "i-new", 2, &fleet.Holdings{}
				v.Upstreams["i-new"] = &u
				v.Members = nil
			},
			"replaced, as its agent says": func(_ *fleet.View, p *Pool) {
				p.Heard("i-0", &agentapi.State{Known: true, Born: 2, Holdings: &fleet.Holdings{}})
			},
			"agent says so": func(_ *fleet.View, p *Pool) {
				p.Heard("i-0", &agentapi.State{Known: true, Born: 1, Draining: true, Holdings: &fleet.Holdings{}})
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
				t.Fatalf("%s: chosen", name)
			}
			if ticket, _ := p.Begin(c, engineQuery("m", "")); ticket != nil {
				t.Fatalf("%s: an old choice is used", name)
			}
		}
		for name, hear := range map[string]func(*Pool){
			"machine silent": func(p *Pool) { p.AgentLost("i-0", true) },
			"engine silent":  func(p *Pool) { p.Heard("i-0", &agentapi.State{}) },
		} {
			p := newPool(testView(1, 1))
			q := engineQuery("m", "")
			c, _ := p.Pick(q)
			ticket, _ := p.Begin(c, q)
			hear(p)
			if got, _ := p.Pick(q); got != nil || !p.Silent("i-0") {
				t.Fatalf("%s: chosen", name)
			}
			time.Sleep(time.Millisecond)
			ticket.Heard()
			got, _ := p.Pick(q)
			check.True(got != nil) // the engine answers though its agent does not
		}
		p := newPool(testView(1, 1))
		q := engineQuery("m", "")
		c, _ := p.Pick(q)
		p.AgentLost("i-0", false)
		check.True(!p.Silent("i-0")) // only the agent's process is gone
		ticket, _ := p.Begin(c, q)
		ticket.End(Unreachable)
		c, _ = p.Pick(q)
		check.True(c == nil)
		time.Sleep(firstEjection)
		c, _ = p.Pick(q)
		check.True(c != nil)
	})
}

// TestPlainUpstreams guards against requests that pile up at one upstream of a
// service without models, and against one that fails all of them.
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
	check.True(got["failed"] < 8) // most requests go to those that serve
}

// TestMissingAndLoaded guards against requests that go on to an engine which
// has said that it lacks the model, until its next report.
func TestMissingAndLoaded(t *testing.T) {
	check := is.New(t)
	p := newPool(testView(2, 1))
	p.Missing("i-0", "m", "")
	c, _ := p.Pick(engineQuery("m", ""))
	check.True(c.Load)
	p.Loaded("i-1", "m", "")
	c, _ = p.Pick(engineQuery("m", ""))
	check.Equal(c.Upstream.ID, "i-1")
	check.True(!c.Load)
	p.Loaded("i-1", "m", "a9")
	c, _ = p.Pick(engineQuery("m", "a9"))
	check.True(!c.Load)
	p.Missing("i-1", "m", "a9")
	c, _ = p.Pick(engineQuery("m", "a9"))
	check.True(c.Load)
}

// TestDemand guards against an agent that does not learn which of its models
// are in use.
func TestDemand(t *testing.T) {
	check := is.New(t)
	p := newPool(testView(2, 1))
	q := engineQuery("m", "a1")
	p.Asked(q)
	c, _ := p.Pick(q)
	ticket, _ := p.Begin(c, q)
	byName := make(map[string]agentapi.Demand)
	for _, d := range p.Demand("i-0") {
		byName[d.Name] = d
	}
	check.Equal(byName["m/a1"].InFlight, 1)
	check.Equal(byName["m/a1"].Recent, 1)
	check.Equal(byName["m/a1"].Copies, 1)
	check.True(byName["m"].Asked > 0.9)
	ticket.End(Served)
	for _, d := range p.Demand("i-0") {
		check.Equal(d.InFlight, 0)
		check.Equal(d.Recent, 0)
	}
}
