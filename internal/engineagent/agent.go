package engineagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/promptcache"
	"github.com/jacinthbend/jacinthbend/internal/slidingwindow"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// Intervals between reads of the engine's report. The agent runs on the
// engine's machine, so frequent reads cost nothing.
const (
	idleInterval = 60 * time.Millisecond
	// busyInterval applies while loads are requested or the engine executes an order.
	// An adapter loads in 5 ms.
	busyInterval  = 6 * time.Millisecond
	retryInterval = 100 * time.Millisecond
)

// maxReportAge bounds the age of an engine's report. The platform's engines
// report values that are some hundred ms old.
const maxReportAge = time.Second

// orderBackoff is the delay after an order that was refused or got no response.
// A cold engine counts every order like a request, even a refused one, so the
// agent must not send many.
const orderBackoff = 60 * time.Millisecond

// maxPendingAdapters is the number of adapters that may be loading on the
// engine at the same time.
const maxPendingAdapters = 4

// Options configures an Agent.
type Options struct {
	Name    string
	Service string
	Engine  Engine
	// CacheEvents is nil if the engine's prompt cache is not followed.
	CacheEvents CacheEventSource
	// Config returns the current configuration, or nil if none has been received.
	Config         func() *fleet.Config
	StoreLoadLimit StoreLoadLimit
	ColdLimit      ColdLimit
	// FirstStart is set if no earlier agent of this engine can have started loads
	// from the weight store.
	FirstStart bool
	// OnCaller is called with the address and data centre of each entry instance that
	// offers its records; it may be nil.
	OnCaller func(addr, dataCentre string)
	Logger   *zap.Logger
}

// Agent decides which models and adapters one engine loads and unloads, and
// sends it the orders. It is safe for concurrent use.
type Agent struct {
	Options

	mu        sync.Mutex
	reachable bool
	// unreachableSince is when the engine stopped responding.
	unreachableSince time.Time
	report           fleet.EngineReport
	// engineID is the id of the current engine instance, or empty if unknown.
	engineID string
	version  uint64
	// incarnation identifies this run of the agent process. holdingsVersion is the
	// version at which the holdings last changed.
	incarnation     int64
	holdingsVersion uint64
	// announcedVersion is the version of the last change that state calls are answered for at
	// once, and changed is closed then. Changes of promptParts wait for the next answer.
	announcedVersion uint64
	changed          chan struct{}
	promptParts      *promptcache.Tracker
	// watched is the number of agents that an entry instance watches.
	watched  int
	metrics  *metrics.Set
	wake     chan struct{}
	requests loadRequests
	demand   demand
	// permits counts the requests that may be on their way to the engine, and the orders,
	// which a cold engine counts like requests.
	permits     slidingwindow.Counter
	ratePermits ratePermits
	startedAt   time.Time
	storeShare  storeShare
	fence       int64
	loading     string
	// loadETA is the expected end of the current load.
	loadETA      time.Time
	storeLimiter storeLoadLimiter
	// storeLoad tracks the current load from the weight store.
	storeLoad storeLoad
	// acceptedAt is when the engine last accepted an order. report.Sequence
	// already counts that order.
	acceptedAt    time.Time
	pendingUnload pendingUnload
	// backoffUntil blocks orders after one that was refused or got no response.
	backoffUntil time.Time
}

// New returns an agent that sends no orders until SetFence is called.
func New(o Options) *Agent {
	a := &Agent{
		Options: o, startedAt: time.Now(), permits: slidingwindow.Counter{Length: permitWindow}, incarnation: time.Now().UnixNano(), changed: make(chan struct{}), wake: make(chan struct{}, 1), requests: make(loadRequests), demand: newDemand(),
		storeLimiter: storeLoadLimiter{limit: o.StoreLoadLimit}, promptParts: promptcache.NewTracker(), metrics: metrics.NewSet(),
	}
	if !o.FirstStart {
		a.storeLimiter.record(time.Now())
	}
	return a
}

// SetFence sets the fencing token of this agent's orders. It must be higher
// than the token of every earlier agent of the engine.
func (a *Agent) SetFence(fence int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = fence
}

// Run reads the engine's reports and sends orders until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := a.reconcile(ctx)
		t := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-t.C:
		}
		t.Stop()
	}
}

// reconcile reads the engine's report and sends up to maxPendingAdapters
// orders. It returns the time to wait before the next call.
func (a *Agent) reconcile(ctx context.Context) time.Duration {
	r, err := a.Engine.Report(ctx)
	if err != nil {
		a.markUnreachable(err)
		return retryInterval
	}
	a.applyReport(r)
	if !a.identify(ctx) {
		return retryInterval
	}
	for range maxPendingAdapters {
		o, ok := a.nextOrder()
		if !ok {
			break
		}
		if !a.sendOrder(ctx, o) {
			break
		}
	}
	if a.active() {
		return busyInterval
	}
	return idleInterval
}

func (a *Agent) active() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests) > 0 || a.report.Busy || len(a.report.PendingAdapters) > 0
}

func (a *Agent) markUnreachable(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reachable {
		a.Logger.Warn("engine unreachable", telemetry.Err(err))
		a.reachable, a.engineID, a.unreachableSince = false, "", time.Now()
		a.publish()
	}
}

// applyReport replaces the last report with r, unless r is older than the last
// accepted order.
func (a *Agent) applyReport(r fleet.EngineReport) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reachable && r.StartedAtMS == a.report.StartedAtMS && r.Sequence < a.report.Sequence && now.Sub(a.acceptedAt) < maxReportAge {
		// The engine made this report before it accepted the last order, so only the
		// request counts are current.
		a.report.Queued, a.report.Running, a.report.RateLimit = r.Queued, r.Running, r.RateLimit
		return
	}
	if !a.reachable || r.StartedAtMS != a.report.StartedAtMS {
		a.Logger.Info("engine reachable", zap.Int64("born", r.StartedAtMS), zap.Int("models", len(r.Holdings.Adapters)), zap.Int64("sequence", r.Sequence))
		a.engineID = ""
		a.demand = newDemand()
		a.loading, a.storeLoad, a.pendingUnload = "", storeLoad{}, pendingUnload{}
	}
	if !r.Busy {
		if a.storeLoad.finish(now) {
			a.Logger.Info("load from the weight store ended", zap.String("model", a.loading), zap.Float64("slowdown", a.storeLoad.slowdown))
		}
		a.loading = ""
	}
	a.pendingUnload.filterReport(&r)
	for name := range r.Holdings.Adapters {
		if _, ok := a.demand.loadedAt[name]; !ok {
			a.demand.loadedAt[name] = now
			a.demand.expect(name, a.requests.endBackground(name, now), now)
		}
	}
	for name := range a.demand.loadedAt {
		if !r.Holdings.HasModel(name) {
			delete(a.demand.loadedAt, name)
		}
	}
	statusChanged, holdingsChanged := !a.reachable || !similarStatus(a.report, r), !a.reachable || !sameHoldings(a.report, r)
	if r.RateLimit != a.report.RateLimit {
		a.Logger.Info("engine changed its rate limit", zap.Float64("per_second", r.RateLimit), zap.Float64("before", a.report.RateLimit), zap.Int("running", r.Running), zap.Int("queued", r.Queued))
	}
	a.reachable, a.report = true, r
	if statusChanged || holdingsChanged {
		a.publish()
	}
	if holdingsChanged {
		a.holdingsVersion = a.version
	}
}

// similarStatus reports whether b differs too little from a to notify entry
// instances. It ignores the holdings, and changes of the request counts below
// minDelta.
func similarStatus(a, b fleet.EngineReport) bool {
	const minDelta = 2
	similar := func(x, y int) bool { return x-y < minDelta && y-x < minDelta }
	return a.Busy == b.Busy && a.Draining == b.Draining && a.RateLimit == b.RateLimit && similar(a.Queued, b.Queued) && similar(a.Running, b.Running)
}

// sameHoldings reports whether a and b come from the same engine instance
// and list the same models and adapters.
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

// publish increments the version and wakes all waiting state calls. The caller
// holds the lock.
func (a *Agent) publish() {
	a.version++
	a.announcedVersion = a.version
	close(a.changed)
	a.changed = make(chan struct{})
}

// identify asks for the id of the current engine instance unless it is known
// already, and reports whether it is known now.
func (a *Agent) identify(ctx context.Context) bool {
	a.mu.Lock()
	id := a.engineID
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
		a.Logger.Warn("cannot identify engine", telemetry.Err(err))
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engineID = id
	return true
}

// engineSpec returns the engine's configuration, or nil if there is none.
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
