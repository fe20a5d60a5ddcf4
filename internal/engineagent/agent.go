package engineagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// Timing of the reports, which cost nothing on the engine's own machine.
const (
	calmPause = 60 * time.Millisecond
	// busyPause is the time between reports while something is asked for; an
	// adapter loads in 5 ms.
	busyPause = 6 * time.Millisecond
	lostPause = 100 * time.Millisecond
)

// reportLag bounds the age of an engine's report. The platform's engines report
// values of some hundred ms ago.
const reportLag = time.Second

// refusedPause is the time after an order that was refused or not answered. An
// engine counts orders, so a cold one must not be flooded with them.
const refusedPause = 60 * time.Millisecond

// adaptersInTransit is how many adapters may be on their way to one engine.
const adaptersInTransit = 4

// Options of an agent.
type Options struct {
	Name    string
	Service string
	Engine  Engine
	// Config returns the configuration in force, or nil.
	Config func() *fleet.Config
	Store  StoreBounds
	// Fresh tells that no earlier agent can have loaded from the weight store.
	Fresh  bool
	Logger *zap.Logger
}

// Agent decides and gives the orders of one engine. It is safe for concurrent use.
type Agent struct {
	Options

	mu    sync.Mutex
	known bool
	// lostAt is when the engine stopped to answer.
	lostAt  time.Time
	report  fleet.EngineReport
	id      string
	version uint64
	// incarnation is this start of the agent, held the version at which the
	// holdings changed last.
	incarnation int64
	held        uint64
	// changed is closed with each new version.
	changed chan struct{}
	wake    chan struct{}
	wants   wants
	demand  demand
	sharing sharing
	fence   int64
	loading string
	// loadedBy is when the load is expected to end.
	loadedBy time.Time
	store    storeWindow
	// storeLoad is the load from the weight store that is under way.
	storeLoad storeLoad
	// acceptedAt is when the engine last accepted an order, whose number
	// report.Sequence has.
	acceptedAt time.Time
	unloading  unloading
	// pauseUntil keeps orders back after one that was refused or not answered.
	pauseUntil time.Time
}

// New returns an agent that gives no orders until SetFence is called.
func New(o Options) *Agent {
	a := &Agent{
		Options: o, incarnation: time.Now().UnixNano(), changed: make(chan struct{}), wake: make(chan struct{}, 1), wants: make(wants), demand: newDemand(),
		store: storeWindow{bounds: o.Store},
	}
	if !o.Fresh {
		a.store.add(time.Now())
	}
	return a
}

// SetFence sets the number under which this agent orders. It must be higher
// than that of every agent of the engine before.
func (a *Agent) SetFence(fence int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = fence
}

// Run follows the engine and gives orders until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := a.step(ctx)
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-t.C:
		}
		t.Stop()
	}
}

// step reads the engine's report and gives at most some orders. It returns the
// pause until the next one.
func (a *Agent) step(ctx context.Context) time.Duration {
	r, err := a.Engine.Report(ctx)
	if err != nil {
		a.lost(err)
		return lostPause
	}
	a.takeReport(r)
	if !a.identify(ctx) {
		return lostPause
	}
	for range adaptersInTransit {
		o, ok := a.nextOrder()
		if !ok {
			break
		}
		if !a.order(ctx, o) {
			break
		}
	}
	if a.active() {
		return busyPause
	}
	return calmPause
}

func (a *Agent) active() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.wants) > 0 || a.report.Busy || len(a.report.PendingAdapters) > 0
}

func (a *Agent) lost(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known {
		a.Logger.Warn("engine lost", telemetry.Err(err))
		a.known, a.id, a.lostAt = false, "", time.Now()
		a.publish()
	}
}

// takeReport takes over a report.
func (a *Agent) takeReport(r fleet.EngineReport) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known && r.StartedAtMS == a.report.StartedAtMS && r.Sequence < a.report.Sequence && now.Sub(a.acceptedAt) < reportLag {
		// From before the last order: only its counts are news.
		a.report.Queued, a.report.Running = r.Queued, r.Running
		return
	}
	if !a.known || r.StartedAtMS != a.report.StartedAtMS {
		a.Logger.Info("engine found", zap.Int64("born", r.StartedAtMS), zap.Int("models", len(r.Holdings.Adapters)), zap.Int64("sequence", r.Sequence))
		a.id = ""
		a.demand = newDemand()
		a.loading, a.storeLoad, a.unloading = "", storeLoad{}, unloading{}
	}
	if !r.Busy {
		a.storeLoad.ended(now)
		a.loading = ""
	}
	a.unloading.apply(&r)
	for name := range r.Holdings.Adapters {
		if _, ok := a.demand.loadedAt[name]; !ok {
			a.demand.loadedAt[name] = now
		}
	}
	for name := range a.demand.loadedAt {
		if !r.Holdings.HasModel(name) {
			delete(a.demand.loadedAt, name)
		}
	}
	differs, moved := !a.known || !sameState(a.report, r), !a.known || !sameHoldings(a.report, r)
	a.known, a.report = true, r
	if differs || moved {
		a.publish()
	}
	if moved {
		a.held = a.version
	}
}

// sameState reports whether entry instances need not hear of b after a, apart
// from the holdings. The load is news only when it has changed by some requests.
func sameState(a, b fleet.EngineReport) bool {
	const some = 2
	near := func(x, y int) bool { return x-y < some && y-x < some }
	return a.Busy == b.Busy && a.Draining == b.Draining && near(a.Queued, b.Queued) && near(a.Running, b.Running)
}

// sameHoldings reports whether an engine holds the same in both reports.
func sameHoldings(a, b fleet.EngineReport) bool {
	if a.StartedAtMS != b.StartedAtMS || len(a.Holdings.Adapters) != len(b.Holdings.Adapters) ||
		!slices.Equal(a.Holdings.InMemory, b.Holdings.InMemory) || !slices.Equal(a.Holdings.OnDisk, b.Holdings.OnDisk) {
		return false
	}
	for name, adapters := range a.Holdings.Adapters {
		if other, ok := b.Holdings.Adapters[name]; !ok || !slices.Equal(adapters, other) {
			return false
		}
	}
	return true
}

// publish makes a new version known. The caller holds the lock.
func (a *Agent) publish() {
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// identify learns the id of the engine's present start, once.
func (a *Agent) identify(ctx context.Context) bool {
	a.mu.Lock()
	id := a.id
	a.mu.Unlock()
	if id != "" {
		return true
	}
	c := a.Config()
	if c == nil {
		return false
	}
	service, ok := c.Service(a.Service)
	if !ok {
		return false
	}
	id, err := a.Engine.Identify(ctx, service.HealthPath)
	if err != nil {
		a.Logger.Warn("engine's id is not known", telemetry.Err(err))
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.id = id
	return true
}

// engineSpec returns what the configuration says of the engine.
func (a *Agent) engineSpec() *fleet.Engine {
	c := a.Config()
	if c == nil {
		return nil
	}
	s, ok := c.Service(a.Service)
	if !ok {
		return nil
	}
	return s.Engine
}
