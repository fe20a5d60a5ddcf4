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

// play runs an agent beside e.
func play(t *testing.T, e *fakeEngine, fence int64, f func(*is.I, *Agent)) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(e, fence, true)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { a.Run(ctx); close(done) }()
		time.Sleep(100 * time.Millisecond)
		f(is.New(t), a)
		cancel()
		<-done
		time.Sleep(20 * time.Second) // late orders are carried out
		is.New(t).Equal(len(e.breaches), 0)
	})
}

func newAgent(e *fakeEngine, fence int64, fresh bool) *Agent {
	a := New(Options{
		Name: "agent-1", Service: "s", Engine: e, Logger: zap.NewNop(), Fresh: fresh,
		Config: func() *fleet.Config {
			return &fleet.Config{Services: map[string]fleet.Service{"s": {Name: "s", Engine: e.spec}}}
		},
		Store: StoreBounds{Window: 5 * time.Second, Over: 1.1},
	})
	a.SetFence(fence)
	a.sharing = sharing{engines: 9}
	return a
}

func ensure(a *Agent, model, adapter string, wait time.Duration) agentapi.EnsureResponse {
	r, _ := a.ServeEnsure(context.Background(), agentapi.EnsureRequest{Model: model, Adapter: adapter, WaitMS: wait.Milliseconds()})
	return r
}

// TestEnsure guards against a request that is told too early, or not at all,
// that its model or adapter is loaded.
func TestEnsure(t *testing.T) {
	e := newFakeEngine("a", "b", "c")
	play(t, e, 1, func(check *is.I, a *Agent) {
		check.True(ensure(a, "a", "", 0).Loaded)
		start := time.Now()
		check.True(ensure(a, "a", "x1", time.Second).Loaded)
		check.True(time.Since(start) < 50*time.Millisecond)
		start = time.Now()
		check.True(ensure(a, "d", "x2", 3*time.Second).Loaded) // displaces a model
		check.True(time.Since(start) < 1500*time.Millisecond)
		check.True(!ensure(a, "unknown", "", time.Second).Loaded)
	})
}

// TestAdapterSlots guards against more adapters than the engine takes, and
// against an adapter that is never loaded because all slots are taken.
func TestAdapterSlots(t *testing.T) {
	e := newFakeEngine("a", "b")
	play(t, e, 1, func(check *is.I, a *Agent) {
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

// TestLostAnswers guards against orders that overcommit the engine when their
// answers are lost, also when they are carried out seconds later (F7, F14).
func TestLostAnswers(t *testing.T) {
	for _, late := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 7 * time.Second} {
		e := newFakeEngine("a", "b", "c")
		e.lose, e.late = late == 0, late
		play(t, e, 1, func(check *is.I, a *Agent) {
			_ = ensure(a, "d", "", 4*time.Second)
			_ = ensure(a, "a", "x", time.Second)
			e.mu.Lock()
			e.lose, e.late = false, 0
			e.mu.Unlock()
			check.True(ensure(a, "d", "", 20*time.Second).Loaded)
		})
	}
}

// TestNoOrderWhileBusy guards against orders that the engine refuses because
// it carries one out; a cold engine counts each.
func TestNoOrderWhileBusy(t *testing.T) {
	e := newFakeEngine("a", "b")
	play(t, e, 1, func(check *is.I, a *Agent) {
		var wg sync.WaitGroup
		wg.Go(func() { check.True(ensure(a, "c", "", 3*time.Second).Loaded) })
		time.Sleep(100 * time.Millisecond)
		wg.Go(func() { check.True(ensure(a, "a", "x", 3*time.Second).Loaded) })
		wg.Wait()
		check.Equal(e.refused, 0)
		check.Equal(e.orders, 2)
	})
}

// TestFence guards against orders without a fence, before the agent has one.
func TestFence(t *testing.T) {
	e := newFakeEngine("a")
	play(t, e, 0, func(check *is.I, a *Agent) {
		check.True(!ensure(a, "b", "", 2*time.Second).Loaded)
		check.Equal(e.orders, 0)
		a.SetFence(5)
		check.True(ensure(a, "b", "", 2*time.Second).Loaded)
	})
}

// TestStoreWindow guards against more loads from the weight store than all
// agents together may begin in a window, whatever their number, when each of
// them begins one as soon as it may; and against a store that is left idle.
func TestStoreWindow(t *testing.T) {
	bounds := StoreBounds{Window: 5 * time.Second, Over: 1.1}
	for _, engines := range []int{1, 3, 9, 18, 50, 150, 400} {
		for _, rate := range []float64{1.6, 4.2, 11} {
			check := is.New(t)
			windows := make([]storeWindow, engines)
			var begun []time.Time
			now := time.Unix(1700000000, 0)
			for range 1200 {
				now = now.Add(50 * time.Millisecond)
				for i := range windows {
					windows[i].bounds = bounds
					if windows[i].allowed(now, rate, sharing{engines: engines, rank: i}) {
						windows[i].add(now)
						begun = append(begun, now)
					}
				}
			}
			most := rate*bounds.Window.Seconds()*bounds.Over + storeSlack
			first := 0
			for i, at := range begun {
				for at.Sub(begun[first]) >= bounds.Window {
					first++
				}
				check.True(float64(i-first+1) <= most)
			}
			check.True(float64(len(begun)) > 12*most/8) // of the 12 windows' bound
		}
	}
	check := is.New(t)
	w := storeWindow{bounds: bounds}
	check.True(!w.allowed(time.Now(), 1.6, sharing{})) // the number of engines is not known
	w = newAgent(newFakeEngine(), 1, false).store
	check.True(!w.allowed(time.Now(), 1.6, sharing{engines: 9})) // an earlier agent may have begun one
}

// TestEngineRestart guards against a state of an earlier start of the engine.
func TestEngineRestart(t *testing.T) {
	e := newFakeEngine("a", "b")
	play(t, e, 1, func(check *is.I, a *Agent) {
		check.True(a.State().Holdings.HasModel("a"))
		e.mu.Lock()
		e.down = true
		e.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		check.True(!a.State().Known)
		e.mu.Lock()
		e.down, e.report = false, fleet.EngineReport{StartedAtMS: 2, Holdings: fleet.Holdings{Adapters: map[string][]string{}, OnDisk: []string{"a"}}}
		e.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		check.Equal(a.State().Born, int64(2))
		check.True(!a.State().Holdings.HasModel("a"))
		check.True(ensure(a, "a", "", 2*time.Second).Loaded)
	})
}

// TestEnsureAtLostEngine guards against a request that waits for a load at an
// engine that has crashed, or that is back without the model.
func TestEnsureAtLostEngine(t *testing.T) {
	for _, back := range []bool{false, true} {
		e := newFakeEngine("a", "b")
		play(t, e, 1, func(check *is.I, a *Agent) {
			go func() {
				time.Sleep(200 * time.Millisecond)
				e.mu.Lock()
				e.down = true
				e.mu.Unlock()
				time.Sleep(200 * time.Millisecond)
				e.mu.Lock()
				e.down, e.report = !back, fleet.EngineReport{StartedAtMS: 2, Holdings: fleet.Holdings{Adapters: map[string][]string{}}}
				e.mu.Unlock()
			}()
			start := time.Now()
			check.True(!ensure(a, "d", "", 7*time.Second).Loaded)
			check.True(time.Since(start) < 1200*time.Millisecond)
		})
	}
}

// TestStateCall guards against an entry instance that hears of a load late.
func TestStateCall(t *testing.T) {
	e := newFakeEngine("a")
	play(t, e, 1, func(check *is.I, a *Agent) {
		st := a.State()
		start := time.Now()
		next, err := a.ServeState(context.Background(), agentapi.StateRequest{From: "e1", Incarnation: st.Incarnation, After: st.Version, WaitMS: 500, Engines: 4})
		check.NoErr(err)
		check.Equal(next.Version, st.Version)
		check.Equal(time.Since(start), 500*time.Millisecond)
		go func() { _ = ensure(a, "b", "", 2*time.Second) }()
		next, err = a.ServeState(context.Background(), agentapi.StateRequest{From: "e1", Incarnation: st.Incarnation, After: st.Version, WaitMS: 500, Engines: 4})
		check.NoErr(err)
		check.True(next.Holdings == nil) // a model is on its way, none has come
		check.Equal(next.Loading, "b")
		check.True(next.LoadingLeftMS > 0)
	})
}

// TestStateWithoutHoldings guards against an entry instance that takes an old
// list of models for the present one: after a change, a restart of the agent, or
// one of the engine.
func TestStateWithoutHoldings(t *testing.T) {
	e := newFakeEngine("a")
	play(t, e, 1, func(check *is.I, a *Agent) {
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
