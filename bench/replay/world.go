package replay

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/engineagent"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

const (
	service = "engines"
	// modelMB and memoryPerModelMB let ModelsLoaded models fit into an engine.
	modelMB = 10
	// networkDelay is the time of one message.
	networkDelay = time.Millisecond
	// storeLoadInterval is how often an entry instance asks for loads from the store.
	storeLoadInterval = 250 * time.Millisecond
	// warmUp is how long the instances run before the first request.
	warmUp = 3 * time.Second
)

// world is a pattern that is being played.
type world struct {
	pattern Pattern
	result  *Result
	// background has the orders that engines carry out.
	background sync.WaitGroup

	mu      sync.Mutex
	view    *fleet.View
	agents  map[string]*engineagent.Agent
	engines map[string]*engine
	pools   []*upstream.Pool
	// popularity has the models, most popular first; weights are cumulative.
	popularity []string
	weights    []float64
	factors    map[string]float64
	// storeLoads are the ends of the loads that the weight store serves.
	storeLoads []time.Time
}

// Play plays a pattern and returns what became of its requests. It must run in a
// synctest bubble.
func Play(p Pattern) *Result {
	w := newWorld(p)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for id, a := range w.agents {
		wg.Go(func() { a.Run(ctx) })
		for i, pool := range w.pools {
			wg.Go(func() { w.watch(ctx, fmt.Sprint("entry-", i), pool, id, a) })
		}
	}
	for _, pool := range w.pools {
		wg.Go(func() { w.requestStoreLoads(ctx, pool) })
	}
	time.Sleep(warmUp)
	w.result.start = time.Now()
	for _, e := range p.Events {
		wg.Go(func() { w.happen(ctx, e) })
	}
	var callers sync.WaitGroup
	for _, c := range p.Classes {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(len(c.Name))))
		callers.Go(func() { w.send(&callers, c, rng) })
	}
	callers.Wait()
	cancel()
	wg.Wait()
	w.background.Wait()
	return w.result
}

func newWorld(p Pattern) *world {
	w := &world{
		pattern: p, result: newResult(p), agents: make(map[string]*engineagent.Agent),
		engines: make(map[string]*engine), factors: make(map[string]float64),
	}
	total := 0.0
	spec := &fleet.Engine{Capacity: p.Engines.Slots, MemoryMB: float64(p.Engines.ModelsLoaded * modelMB), MaxAdapters: 1, LoadsPerSecond: float64(p.Models.StoreParallel), Models: make(map[string]fleet.Model)}
	for i := range p.Models.Count {
		name := fmt.Sprintf("model-%03d", i)
		spec.Models[name] = fleet.Model{Name: name, WeightsMB: modelMB, StoreLoadTime: seconds(p.Models.StoreS), DiskLoadTime: seconds(p.Models.DiskS), MemoryLoadTime: seconds(p.Models.MemoryS)}
		total += math.Pow(float64(i+1), -p.Models.Skew)
		w.popularity, w.weights = append(w.popularity, name), append(w.weights, total)
	}
	w.view = &fleet.View{
		Config:    &fleet.Config{Version: 1, Services: map[string]fleet.Service{service: {Name: service, Engine: spec}}},
		Upstreams: make(map[string]*fleet.Upstream), Evacuated: make(map[string]bool), Members: make(map[string]fleet.Member),
	}
	for i := range p.Entries {
		m := fleet.Member{Name: fmt.Sprint("entry-", i), Role: fleet.RoleEntry, DataCentre: dataCentre(i % p.DataCentres)}
		w.view.Members[m.Name] = m
	}
	w.addEngines()
	for i := range p.Entries {
		pool := upstream.NewPool(fmt.Sprint("entry-", i), dataCentre(i%p.DataCentres), upstream.Bounds{})
		pool.Update(w.view)
		w.pools = append(w.pools, pool)
	}
	return w
}

func dataCentre(i int) string { return fmt.Sprint("dc-", i) }

// addEngines places the models: each engine has ModelsLoaded of them loaded, in turn, so
// that every model has a copy as far as there is room.
func (w *world) addEngines() {
	p, config := w.pattern, w.view.Config
	for i := range p.Engines.Count {
		h := fleet.Holdings{Adapters: make(map[string][]string)}
		for j := range p.Engines.ModelsLoaded {
			model := w.popularity[(i+j*p.Engines.Count)%p.Models.Count]
			h.Adapters[model] = nil
			h.InMemory, h.OnDisk = append(h.InMemory, model), append(h.OnDisk, model)
		}
		e := &engine{world: w, id: fmt.Sprintf("i-%03d", i), dc: dataCentre(i % p.DataCentres), report: fleet.EngineReport{StartedAtMS: 1, Holdings: h}}
		addr := fmt.Sprintf("10.0.0.%d:1", i)
		w.engines[e.id] = e
		w.view.Upstreams[e.id] = &fleet.Upstream{ID: e.id, StartedAtMS: 1, Service: service, Addr: addr, DataCentre: e.dc, Capacity: p.Engines.Slots, Holdings: &fleet.Holdings{}}
		w.view.Members["agent-"+e.id] = fleet.Member{Name: "agent-" + e.id, Role: fleet.RoleAgent, Addr: e.id, UpstreamAddr: addr, DataCentre: e.dc}
		a := engineagent.New(engineagent.Options{
			Name: "agent-" + e.id, Service: service, Engine: e, Logger: zap.NewNop(), FirstStart: true,
			Config:         func() *fleet.Config { return config },
			StoreLoadLimit: engineagent.StoreLoadLimit{Window: 5 * time.Second, RateFactor: 10},
		})
		a.SetFence(1)
		w.agents[e.id] = a
	}
}

// Intervals of the state calls, as in agentclient.
const (
	stateWait     = 450 * time.Millisecond
	stateInterval = 100 * time.Millisecond
)

// watch carries an agent's states to the pool of an entry instance.
func (w *world) watch(ctx context.Context, entry string, pool *upstream.Pool, id string, a *engineagent.Agent) {
	last := &agentapi.State{}
	for ctx.Err() == nil {
		start := time.Now()
		st, err := a.ServeState(ctx, agentapi.StateRequest{
			From: entry, Incarnation: last.Incarnation, After: last.Version, WaitMS: int(stateWait.Milliseconds()), Engines: len(w.engines), Demand: pool.Demand(id),
		})
		time.Sleep(networkDelay)
		if err != nil || ctx.Err() != nil {
			return
		}
		if st.Holdings == nil && st.Incarnation == last.Incarnation && st.StartedAtMS == last.StartedAtMS {
			st.Holdings = last.Holdings
		}
		last = &st
		pool.UpdateAgentState(id, last, time.Now())
		sleep(ctx, stateInterval-time.Since(start))
	}
}

func (w *world) requestStoreLoads(ctx context.Context, pool *upstream.Pool) {
	for ctx.Err() == nil {
		sleep(ctx, storeLoadInterval)
		for _, load := range pool.StoreLoads() {
			for _, agent := range load.Agents {
				req := agentapi.EnsureRequest{Model: load.Model, Background: true, FromStore: true, ExpectedDemand: load.Demand}
				if resp, err := w.agents[agent].ServeEnsure(ctx, req); err == nil && resp.Reason == "" {
					break
				}
			}
		}
	}
}

// sleep waits for d or until ctx ends. A timer that has expired when it is created crashes
// the race detector in a synctest bubble (Go 1.26, timer.maybeRunChan).
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// storeLoad starts a load from the weight store and returns its duration: more loads than
// the store serves at once slow each other down.
func (w *world) storeLoad() time.Duration {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	running := 1
	for _, end := range w.storeLoads {
		if end.After(now) {
			running++
		}
	}
	slowdown := max(1, float64(running)/float64(w.pattern.Models.StoreParallel))
	d := time.Duration(slowdown * float64(seconds(w.pattern.Models.StoreS)))
	w.storeLoads = append(w.storeLoads, now.Add(d))
	w.result.storeLoads++
	return d
}

func (w *world) meanOutputTime() time.Duration {
	sum := 0.0
	for _, c := range w.pattern.Classes {
		sum += float64(c.TokensOut) * w.pattern.Engines.TokenMS
	}
	return milliseconds(sum / float64(len(w.pattern.Classes)))
}

// update publishes a changed copy of the view.
func (w *world) update(change func(v *fleet.View)) {
	w.mu.Lock()
	v := *w.view
	v.Upstreams, v.Evacuated = make(map[string]*fleet.Upstream), make(map[string]bool)
	for id, u := range w.view.Upstreams {
		v.Upstreams[id] = u
	}
	for dc, out := range w.view.Evacuated {
		v.Evacuated[dc] = out
	}
	change(&v)
	w.view = &v
	w.mu.Unlock()
	for _, pool := range w.pools {
		pool.Update(&v)
	}
}

func (w *world) restarted(e *engine) {
	started := e.report.StartedAtMS
	w.background.Go(func() {
		w.update(func(v *fleet.View) {
			u := *v.Upstreams[e.id]
			u.StartedAtMS = started
			v.Upstreams[e.id] = &u
		})
	})
}
