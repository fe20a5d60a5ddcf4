package engineagent

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// runAgent runs an agent for e in virtual time while f runs, and then checks
// that no order violated the engine's rules.
func runAgent(t *testing.T, e *fakeEngine, fence int64, f func(*is.I, *Agent)) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(e, fence, true)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { a.Run(ctx); close(done) }()
		time.Sleep(100 * time.Millisecond)
		f(is.New(t), a)
		cancel()
		<-done
		time.Sleep(20 * time.Second) // for orders that the engine executes late
		is.New(t).Equal(len(e.violations), 0)
	})
}

func newAgent(e *fakeEngine, fence int64, firstStart bool) *Agent {
	a := New(Options{
		Name: "agent-1", Service: "s", Engine: e, Logger: zap.NewNop(), FirstStart: firstStart,
		Config: func() *fleet.Config {
			return &fleet.Config{Services: map[string]fleet.Service{"s": {Name: "s", Engine: e.spec}}}
		},
		StoreLoadLimit: StoreLoadLimit{Window: 5 * time.Second, RateFactor: 1.1},
	})
	a.SetFence(fence)
	a.storeShare = storeShare{engines: 9}
	return a
}

func ensure(a *Agent, model, adapter string, wait time.Duration) agentapi.EnsureResponse {
	r, _ := a.ServeEnsure(context.Background(), agentapi.EnsureRequest{Model: model, Adapter: adapter, WaitMS: wait.Milliseconds()})
	return r
}

// TestEnsure guards against an ensure call that reports a model or adapter as
// loaded too early, or never.
func TestEnsure(t *testing.T) {
	e := newFakeEngine("a", "b", "c")
	runAgent(t, e, 1, func(check *is.I, a *Agent) {
		check.True(ensure(a, "a", "", 0).Loaded)
		start := time.Now()
		check.True(ensure(a, "a", "x1", time.Second).Loaded)
		check.True(time.Since(start) < 50*time.Millisecond)
		start = time.Now()
		check.True(ensure(a, "d", "x2", 3*time.Second).Loaded) // another model must be unloaded first
		check.True(time.Since(start) < 1500*time.Millisecond)
		check.True(!ensure(a, "unknown", "", time.Second).Loaded)
	})
}

// TestAdapterSlots guards against loading more adapters than the engine allows,
// and against an adapter that is never loaded because all slots are taken.
func TestAdapterSlots(t *testing.T) {
	e := newFakeEngine("a", "b")
	runAgent(t, e, 1, func(check *is.I, a *Agent) {
		for i := range 8 {
			check.True(ensure(a, "a", fmt.Sprintf("x%d", i), time.Second).Loaded)
		}
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() { check.True(ensure(a, "b", fmt.Sprintf("y%d", i), 2*time.Second).Loaded) })
		}
		wg.Wait()
	})
}

// TestLostOrderResponses guards against orders that overcommit the engine when
// their responses are lost, including orders that the engine executes
// seconds later (F7, F14).
func TestLostOrderResponses(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 7 * time.Second} {
		e := newFakeEngine("a", "b", "c")
		e.dropResponses, e.execDelay = delay == 0, delay
		runAgent(t, e, 1, func(check *is.I, a *Agent) {
			_ = ensure(a, "d", "", 4*time.Second)
			_ = ensure(a, "a", "x", time.Second)
			e.mu.Lock()
			e.dropResponses, e.execDelay = false, 0
			e.mu.Unlock()
			check.True(ensure(a, "d", "", 20*time.Second).Loaded)
		})
	}
}

// TestNoOrderWhileBusy guards against orders that the engine refuses because it
// is still executing another one. A cold engine counts refused orders too.
func TestNoOrderWhileBusy(t *testing.T) {
	e := newFakeEngine("a", "b")
	runAgent(t, e, 1, func(check *is.I, a *Agent) {
		var wg sync.WaitGroup
		wg.Go(func() { check.True(ensure(a, "c", "", 3*time.Second).Loaded) })
		time.Sleep(100 * time.Millisecond)
		wg.Go(func() { check.True(ensure(a, "a", "x", 3*time.Second).Loaded) })
		wg.Wait()
		check.Equal(e.conflicts, 0)
		check.Equal(e.orders, 2)
	})
}

// TestFence guards against orders that the agent sends before it has a fencing
// token.
func TestFence(t *testing.T) {
	e := newFakeEngine("a")
	runAgent(t, e, 0, func(check *is.I, a *Agent) {
		check.True(!ensure(a, "b", "", 2*time.Second).Loaded)
		check.Equal(e.orders, 0)
		a.SetFence(5)
		check.True(ensure(a, "b", "", 2*time.Second).Loaded)
	})
}

// TestStoreLoadLimiter guards against exceeding the limit on loads from the
// weight store within a window when every agent starts a load as soon as its
// limiter allows one, for any number of agents. It also checks that the agents
// do not leave the store idle: together they start more than an eighth of the
// loads that the limit permits.
func TestStoreLoadLimiter(t *testing.T) {
	limit := StoreLoadLimit{Window: 5 * time.Second, RateFactor: 1.1}
	for _, engines := range []int{1, 3, 9, 18, 50, 150, 400} {
		for _, rate := range []float64{1.6, 4.2, 11} {
			check := is.New(t)
			limiters := make([]storeLoadLimiter, engines)
			var started []time.Time
			now := time.Unix(1700000000, 0)
			for range 1200 {
				now = now.Add(50 * time.Millisecond)
				for i := range limiters {
					limiters[i].limit = limit
					if limiters[i].allowed(now, rate, storeShare{engines: engines, rank: i}) {
						limiters[i].record(now)
						started = append(started, now)
					}
				}
			}
			maxLoads := rate*limit.Window.Seconds()*limit.RateFactor + storeLoadBurst
			first := 0
			for i, at := range started {
				for at.Sub(started[first]) >= limit.Window {
					first++
				}
				check.True(float64(i-first+1) <= maxLoads)
			}
			check.True(float64(len(started)) > 12*maxLoads/8) // an eighth of the limit over 12 windows
		}
	}
	check := is.New(t)
	limiter := storeLoadLimiter{limit: limit}
	check.True(!limiter.allowed(time.Now(), 1.6, storeShare{})) // the number of engines is unknown
	limiter = newAgent(newFakeEngine(), 1, false).storeLimiter
	check.True(!limiter.allowed(time.Now(), 1.6, storeShare{engines: 9})) // an earlier agent may have started one
}

// TestEngineRestart guards against keeping the state of an earlier engine
// instance.
func TestEngineRestart(t *testing.T) {
	e := newFakeEngine("a", "b")
	runAgent(t, e, 1, func(check *is.I, a *Agent) {
		check.True(a.State().Holdings.HasModel("a"))
		e.mu.Lock()
		e.down = true
		e.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		check.True(!a.State().Reachable)
		e.mu.Lock()
		e.down, e.report = false, fleet.EngineReport{StartedAtMS: 2, Holdings: fleet.Holdings{Adapters: map[string][]string{}, OnDisk: []string{"a"}}}
		e.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		check.Equal(a.State().StartedAtMS, int64(2))
		check.True(!a.State().Holdings.HasModel("a"))
		check.True(ensure(a, "a", "", 2*time.Second).Loaded)
	})
}

// TestEnsureEngineUnreachable guards against ensure calls that keep waiting
// after the engine crashed, or after it restarted without the model.
func TestEnsureEngineUnreachable(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		e := newFakeEngine("a", "b")
		runAgent(t, e, 1, func(check *is.I, a *Agent) {
			go func() {
				time.Sleep(200 * time.Millisecond)
				e.mu.Lock()
				e.down = true
				e.mu.Unlock()
				time.Sleep(200 * time.Millisecond)
				e.mu.Lock()
				e.down, e.report = !restarted, fleet.EngineReport{StartedAtMS: 2, Holdings: fleet.Holdings{Adapters: map[string][]string{}}}
				e.mu.Unlock()
			}()
			start := time.Now()
			check.True(!ensure(a, "d", "", 7*time.Second).Loaded)
			check.True(time.Since(start) < 1200*time.Millisecond)
		})
	}
}

// TestStateCall guards against an entry instance that learns late that a load
// has started.
func TestStateCall(t *testing.T) {
	e := newFakeEngine("a")
	runAgent(t, e, 1, func(check *is.I, a *Agent) {
		st := a.State()
		start := time.Now()
		next, err := a.ServeState(context.Background(), agentapi.StateRequest{From: "e1", Incarnation: st.Incarnation, After: st.Version, WaitMS: 500, Engines: 4})
		check.NoErr(err)
		check.Equal(next.Version, st.Version)
		check.Equal(time.Since(start), 500*time.Millisecond)
		go func() { _ = ensure(a, "b", "", 2*time.Second) }()
		next, err = a.ServeState(context.Background(), agentapi.StateRequest{From: "e1", Incarnation: st.Incarnation, After: st.Version, WaitMS: 500, Engines: 4})
		check.NoErr(err)
		check.True(next.Holdings == nil) // the load has started but not finished
		check.Equal(next.Loading, "b")
		check.True(next.LoadRemainingMS > 0)
	})
}

// TestStateWithoutHoldings guards against leaving out holdings that the entry
// instance does not have: after a change, or after a restart of the agent or
// the engine.
func TestStateWithoutHoldings(t *testing.T) {
	e := newFakeEngine("a")
	runAgent(t, e, 1, func(check *is.I, a *Agent) {
		ask := func(incarnation int64, after uint64) agentapi.State {
			st, err := a.ServeState(context.Background(), agentapi.StateRequest{From: "e1", Incarnation: incarnation, After: after})
			check.NoErr(err)
			return st
		}
		first := ask(0, 0)
		check.True(first.Holdings.HasModel("a"))
		check.True(ask(first.Incarnation, first.Version).Holdings == nil)
		check.True(ask(first.Incarnation+1, first.Version).Holdings != nil)
		check.True(ensure(a, "b", "", 2*time.Second).Loaded)
		second := ask(first.Incarnation, first.Version)
		check.True(second.Holdings.HasModel("b"))
		e.mu.Lock()
		e.report = fleet.EngineReport{StartedAtMS: 2, Holdings: fleet.Holdings{Adapters: map[string][]string{"a": nil, "b": nil}}}
		e.mu.Unlock()
		time.Sleep(time.Second)
		check.True(ask(first.Incarnation, second.Version).Holdings != nil)
	})
}
