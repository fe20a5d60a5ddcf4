package engineagent

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/placement"
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

	mu      sync.Mutex
	known   bool
	report  fleet.EngineReport
	id      string
	version uint64
	// changed is closed with each new version.
	changed chan struct{}
	wake    chan struct{}
	wants   wants
	demand  demand
	engines int
	fence   int64
	loading string
	// loadedBy is when the load is expected to end.
	loadedBy time.Time
	store    storeWindow
	// pauseUntil keeps orders back after one that was refused or not answered.
	pauseUntil time.Time
}

// New returns an agent that gives no orders until SetFence is called.
func New(o Options) *Agent {
	a := &Agent{
		Options: o, changed: make(chan struct{}), wake: make(chan struct{}, 1), wants: make(wants), demand: newDemand(),
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
	a.took(r)
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
	return len(a.wants) > 0 || a.report.Busy || len(a.report.Pending) > 0
}

func (a *Agent) lost(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known {
		a.Logger.Warn("engine lost", telemetry.Err(err))
		a.known, a.id = false, ""
		a.publish()
	}
}

// took takes over a report.
func (a *Agent) took(r fleet.EngineReport) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known || r.Born != a.report.Born {
		a.Logger.Info("engine found", zap.Int64("born", r.Born), zap.Int("models", len(r.Holdings.Adapters)), zap.Int64("sequence", r.Sequence))
		a.id = ""
		a.demand = newDemand()
	}
	if !r.Busy {
		a.loading = ""
	}
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
	differs := !a.known || !sameState(a.report, r)
	a.known, a.report = true, r
	if differs {
		a.publish()
	}
}

// sameState reports whether entry instances need not hear of b after a. The
// load is news only when it has changed by some requests.
func sameState(a, b fleet.EngineReport) bool {
	const some = 2
	if a.Born != b.Born || a.Busy != b.Busy || a.Draining != b.Draining || len(a.Holdings.Adapters) != len(b.Holdings.Adapters) {
		return false
	}
	for name, adapters := range a.Holdings.Adapters {
		if other, ok := b.Holdings.Adapters[name]; !ok || !slices.Equal(adapters, other) {
			return false
		}
	}
	near := func(x, y int) bool { return x-y < some && y-x < some }
	return near(a.Queued, b.Queued) && near(a.Running, b.Running)
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
	path := "/health"
	if c := a.Config(); c != nil {
		if s, ok := c.Service(a.Service); ok && s.HealthPath != "" {
			path = s.HealthPath
		}
	}
	id, err := a.Engine.Identify(ctx, path)
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

// nextOrder decides on the next order, if any.
func (a *Agent) nextOrder() (fleet.Order, bool) {
	now := time.Now()
	spec := a.engineSpec()
	a.mu.Lock()
	defer a.mu.Unlock()
	if spec == nil || a.fence == 0 || a.report.Draining {
		return fleet.Order{}, false
	}
	o := fleet.Order{Expected: a.report.Sequence, Holder: a.Name, Fence: a.fence, Instance: a.id}
	// While an order for a model is carried out the engine refuses all others.
	if a.report.Busy || now.Before(a.pauseUntil) {
		return o, false
	}
	if a.adapterOrder(&o, spec, now) {
		return o, true
	}
	in := placement.Input{
		Now: now, Engine: spec, Holdings: &a.report.Holdings, Use: make(map[string]placement.Use),
		Wants:        a.wants.list(now, func(name string) bool { return !strings.Contains(name, "/") }),
		StoreAllowed: a.store.allowed(now, spec.LoadsPerSecond, a.engines),
	}
	if len(in.Wants) == 0 {
		return o, false
	}
	for name := range a.report.Holdings.Adapters {
		in.Use[name] = a.demand.use(name, now)
	}
	next := placement.Next(in)
	o.Model = next.Model
	switch next.Kind {
	case placement.None:
		return o, false
	case placement.Unload:
		o.Kind = fleet.OrderUnload
	case placement.Load:
		o.Kind = fleet.OrderLoad
		a.loadedBy = now.Add(duration(spec.Models[o.Model], &a.report.Holdings))
		if next.FromStore {
			a.store.add(now)
		}
	}
	a.Logger.Info("order decided", zap.String("model", o.Model), zap.Bool("unload", o.Kind == fleet.OrderUnload),
		zap.Bool("from_store", next.FromStore), zap.String("reason", next.Reason), zap.Int64("sequence", o.Expected))
	return o, true
}

// adapterOrder fills o with an order for an adapter that is asked for.
func (a *Agent) adapterOrder(o *fleet.Order, spec *fleet.Engine, now time.Time) bool {
	h := &a.report.Holdings
	held := len(a.report.Pending)
	for _, adapters := range h.Adapters {
		held += len(adapters)
	}
	for _, w := range a.wants.list(now, func(name string) bool { return strings.Contains(name, "/") }) {
		model, adapter, _ := strings.Cut(w.Model, "/")
		if !h.HasModel(model) || h.HasAdapter(model, adapter) || slices.Contains(a.report.Pending, w.Model) ||
			len(a.report.Pending) >= adaptersInTransit || model == a.loading {
			continue
		}
		o.Model, o.Adapter = model, adapter
		if held < spec.MaxAdapters && placement.Free(spec, h) >= spec.Models[model].AdapterMB*float64(1+len(a.report.Pending)) {
			o.Kind = fleet.OrderLoad
			return true
		}
		if a.idleAdapter(o, now) {
			o.Kind = fleet.OrderUnload
			return true
		}
	}
	return false
}

// idleAdapter chooses the adapter that is missed least.
func (a *Agent) idleAdapter(o *fleet.Order, now time.Time) bool {
	var found bool
	var least placement.Use
	for model, adapters := range a.report.Holdings.Adapters {
		for _, ad := range adapters {
			name := model + "/" + ad
			u := a.demand.use(name, now)
			if u.InFlight > 0 || a.wants[name] != nil {
				continue
			}
			if !found || u.Asked < least.Asked || u.Asked == least.Asked && u.LastUsed.Before(least.LastUsed) {
				found, least = true, u
				o.Model, o.Adapter = model, ad
			}
		}
	}
	return found
}

// order gives an order and reports whether another may follow at once.
func (a *Agent) order(ctx context.Context, o fleet.Order) bool {
	result, err := a.Engine.Order(ctx, o)
	fields := []zap.Field{
		zap.String("model", o.Model), zap.String("adapter", o.Adapter), zap.Bool("unload", o.Kind == fleet.OrderUnload),
		zap.Int64("expected", o.Expected), zap.Stringer("result", result),
	}
	if err != nil {
		a.Logger.Warn("order not answered", append(fields, telemetry.Err(err))...)
		a.pause(refusedPause)
		return false
	}
	a.Logger.Info("order answered", fields...)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch result {
	case fleet.OrderAccepted:
		a.report.Sequence++
		a.accepted(o)
		return true
	case fleet.OrderMisdirected:
		a.id = ""
		a.pauseUntil = time.Now().Add(refusedPause)
	case fleet.OrderHolds:
		// An unload of an adapter takes effect at once with this answer.
		if o.Adapter != "" && o.Kind == fleet.OrderUnload {
			a.report.Sequence++
			a.dropAdapter(o.Model, o.Adapter)
			return true
		}
	default:
		a.pauseUntil = time.Now().Add(refusedPause)
	}
	return false
}

func (a *Agent) pause(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pauseUntil = time.Now().Add(d)
}

// duration estimates how long a load takes by where the engine has the weights.
func duration(m fleet.Model, h *fleet.Holdings) time.Duration {
	switch {
	case slices.Contains(h.InMemory, m.Name):
		return m.FromMemory
	case slices.Contains(h.OnDisk, m.Name):
		return m.FromDisk
	default:
		return m.FromStore
	}
}

// accepted notes what an accepted order changes before the next report.
func (a *Agent) accepted(o fleet.Order) {
	switch {
	case o.Adapter != "" && o.Kind == fleet.OrderLoad:
		a.report.Pending = append(a.report.Pending, o.Model+"/"+o.Adapter)
	case o.Adapter != "":
		a.dropAdapter(o.Model, o.Adapter)
	default:
		a.report.Busy = true
		if o.Kind == fleet.OrderLoad {
			a.loading = o.Model
			a.publish()
			return
		}
		// Entry instances must not send requests for a model that is going.
		rest := make(map[string][]string, len(a.report.Holdings.Adapters))
		for name, adapters := range a.report.Holdings.Adapters {
			if name != o.Model {
				rest[name] = adapters
			}
		}
		a.report.Holdings.Adapters = rest
		a.publish()
	}
}

func (a *Agent) dropAdapter(model, adapter string) {
	rest := make(map[string][]string, len(a.report.Holdings.Adapters))
	for name, adapters := range a.report.Holdings.Adapters {
		if name == model {
			adapters = slices.DeleteFunc(slices.Clone(adapters), func(s string) bool { return s == adapter })
		}
		rest[name] = adapters
	}
	a.report.Holdings.Adapters = rest
	a.publish()
}

// State returns the state for entry instances. The caller holds no lock.
func (a *Agent) State() agentapi.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state(time.Now())
}

func (a *Agent) state(now time.Time) agentapi.State {
	st := agentapi.State{Version: a.version, Known: a.known}
	if !a.known {
		return st
	}
	h := a.report.Holdings
	st.Born, st.Holdings, st.Loading = a.report.Born, &h, a.loading
	if a.loading != "" {
		st.LoadingLeftMS = max(0, a.loadedBy.Sub(now).Milliseconds())
	}
	st.Queued, st.Running, st.Draining = a.report.Queued, a.report.Running, a.report.Draining
	for _, w := range a.wants.list(now, func(name string) bool { return !strings.Contains(name, "/") && !h.HasModel(name) }) {
		st.Wanted = append(st.Wanted, w.Model)
	}
	return st
}
