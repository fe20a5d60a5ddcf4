package residency

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// fakeView is a view that the test sets. It is also the SlotProvider and the
// RecordAppender of the manager.
type fakeView struct {
	// blockPreloads makes preloads wait for their slot until they are stopped.
	blockPreloads atomic.Bool
	view          atomic.Pointer[controlstate.View]
	age           atomic.Int64
}

func (f *fakeView) View() *controlstate.View                  { return f.view.Load() }
func (f *fakeView) Age() time.Duration                        { return time.Duration(f.age.Load()) }
func (f *fakeView) MayWork() bool                             { return f.Age() <= viewBound }
func (f *fakeView) Append(context.Context, record.Body) error { return nil }

// Slot implements SlotProvider.
func (f *fakeView) Slot(ctx context.Context, l Load) (func(), error) {
	if l.Preload && f.blockPreloads.Load() {
		<-ctx.Done()
	}
	return func() {}, ctx.Err()
}

// update replaces the view by an edited copy.
func (f *fakeView) update(edit func(*controlstate.View)) {
	view := *f.View()
	edit(&view)
	f.view.Store(&view)
}

// newTestManager returns a manager of instance a, which is the home of n models of
// 30 MiB each and of the adapter m0:x, and its engine of 100 MiB.
func newTestManager(ctx context.Context, n int, fetch time.Duration) (*Manager, *fakeView, *standin.FaultyEngine) {
	join := record.MemberJoin{Instance: "a", Incarnation: "1", Pool: "gpu"}
	v := controlstate.Empty()
	v.Members = v.Members.With("a", controlstate.Member{MemberJoin: join})
	v.Pools = v.Pools.With("gpu", config.Pool{MemoryMiB: engineMiB})
	home := controlstate.Homes{Offset: 5, Active: []record.InstanceRef{{Instance: "a", Incarnation: "1"}}}
	for i := range n {
		id := fmt.Sprint("m", i)
		v.Models = v.Models.With(id, config.Model{Pool: "gpu", MemoryMiB: 30})
		v.Homes = v.Homes.With(id, home)
	}
	v.Adapters = v.Adapters.With("x", config.Adapter{Model: "m0", MemoryMiB: 5})
	v.Homes = v.Homes.With("m0:x", home)
	f := &fakeView{}
	f.view.Store(v)
	e := standin.NewFaultyEngine("a", engineMiB, true, standin.NewFaultyWeightStore(fetch, 64, 1000))
	m := New(Options{Self: join, Views: f, Slots: f, Records: f, Orders: e, Log: zap.NewNop(), Config: Config{KeepWarm: time.Hour}})
	go m.Run(ctx)
	return m, f, e
}

func heldCheckpoints(e *standin.FaultyEngine) (out []string) {
	h, _ := e.MemoryState(context.Background())
	for _, c := range h.Checkpoints {
		out = append(out, c.Checkpoint)
	}
	return out
}

func countEvents(e *standin.FaultyEngine, k standin.EngineEventKind) (n int) {
	for _, ev := range e.History() {
		if ev.Kind == k {
			n++
		}
	}
	return n
}

// TestManager has one scenario for each rule of the manager that the fault matrix
// does not check.
func TestManager(t *testing.T) {
	type env struct {
		*is.I
		ctx     context.Context
		manager *Manager
		view    *fakeView
		engine  *standin.FaultyEngine
	}
	use := func(v env, cp string) func() {
		release, err := v.manager.Acquire(v.ctx, cp, "t", time.Now().Add(20*time.Second))
		v.NoErr(err)
		return release
	}
	requireRefused := func(v env, cp string, k errkind.Kind) {
		_, err := v.manager.Acquire(v.ctx, cp, "t", time.Now().Add(3*time.Second))
		v.True(errkind.Is(err, k)) // kind of refusal
		v.Equal(errkind.From(err).Ran, errkind.RanNo)
	}
	for name, scenario := range map[string]func(env){
		"concurrent requests share one load": func(v env) {
			done := make(chan func())
			for range 20 {
				go func() { done <- use(v, "m1") }()
			}
			for range 20 {
				(<-done)()
			}
			v.Equal(countEvents(v.engine, standin.EngineLoading), 1)
			v.Equal(v.manager.replica("m1").useCount(), int64(0))
		},
		"loading an adapter loads its base model": func(v env) {
			use(v, "m0:x")()
			v.Equal(heldCheckpoints(v.engine), []string{"m0", "m0:x"})
		},
		"a base model is evicted with its idle adapter": func(v env) {
			use(v, "m0:x")()
			defer use(v, "m1")()
			defer use(v, "m2")()
			time.Sleep(time.Second)
			use(v, "m3")()
			v.Equal(heldCheckpoints(v.engine), []string{"m1", "m2", "m3"})
		},
		"a load is refused if all memory is in use": func(v env) {
			defer use(v, "m1")()
			defer use(v, "m2")()
			defer use(v, "m3")()
			requireRefused(v, "m4", errkind.MemoryFull)
			v.Equal(countEvents(v.engine, standin.EngineDropped), 0)
		},
		"not a home": func(v env) { requireRefused(v, "other", errkind.NotHome) },
		"stale view": func(v env) { v.view.age.Store(int64(4 * time.Second)); requireRefused(v, "m1", errkind.ViewStale) },
		"replaced": func(v env) {
			v.view.update(func(view *controlstate.View) {
				view.Members = view.Members.With("a", controlstate.Member{MemberJoin: record.MemberJoin{Instance: "a", Incarnation: "2"}})
			})
			requireRefused(v, "m1", errkind.Fenced)
		},
		"deadline passes while loading": func(v env) {
			_, err := v.manager.Acquire(v.ctx, "m1", "t", time.Now().Add(100*time.Millisecond))
			v.True(errkind.Is(err, errkind.DeadlineUnmet))
			time.Sleep(5 * time.Second)
			v.Equal(heldCheckpoints(v.engine), []string{"m1"}) // the load continues
		},
		"the engine does not answer": func(v env) {
			v.engine.SetFaults(standin.EngineFaults{Down: true})
			requireRefused(v, "m1", errkind.LoadFailed)
		},
		"a stale view unloads only idle replicas": func(v env) {
			use(v, "m1")()
			defer use(v, "m2")()
			v.view.age.Store(int64(31 * time.Second))
			time.Sleep(3 * time.Second)
			v.Equal(heldCheckpoints(v.engine), []string{"m2"})
		},
		"a checkpoint that moved away is unloaded after its last request": func(v env) {
			release := use(v, "m1")
			v.view.update(func(view *controlstate.View) {
				view.Homes = view.Homes.With("m1", controlstate.Homes{Offset: 6})
			})
			time.Sleep(3 * time.Second)
			v.Equal(heldCheckpoints(v.engine), []string{"m1"})
			release()
			time.Sleep(3 * time.Second)
			v.Equal(len(heldCheckpoints(v.engine)), 0)
		},
		"a checkpoint evicted without warning is loaded again": func(v env) {
			use(v, "m1")()
			v.engine.Evict()
			time.Sleep(2 * time.Second)
			use(v, "m1")()
			v.Equal(countEvents(v.engine, standin.EngineLoading), 2)
		},
		"idle for longer than the keep-warm time": func(v env) {
			use(v, "m1")()
			time.Sleep(time.Hour + 3*time.Second)
			v.Equal(len(heldCheckpoints(v.engine)), 0)
		},
		"a checkpoint used at regular intervals is reloaded before the next use": func(v env) {
			v.view.update(func(view *controlstate.View) {
				view.CheckpointsByInstance = view.CheckpointsByInstance.With("a", []string{"m1"})
			})
			for range 5 {
				use(v, "m1")()
				time.Sleep(8 * time.Minute)
			}
			loads := countEvents(v.engine, standin.EngineLoading)
			use(v, "m1")()
			time.Sleep(3 * time.Minute)
			v.Equal(len(heldCheckpoints(v.engine)), 0) // unloaded between the uses
			time.Sleep(5 * time.Minute)
			v.Equal(heldCheckpoints(v.engine), []string{"m1"}) // and loaded before the next
			v.Equal(countEvents(v.engine, standin.EngineLoading), loads+1)
		},
		"requests do not wait for a preload or its memory": func(v env) {
			v.view.blockPreloads.Store(true)
			v.view.update(func(view *controlstate.View) {
				view.Models = view.Models.With("m1", config.Model{Pool: "gpu", MemoryMiB: 30, MinReplicas: 1})
				view.CheckpointsByInstance = view.CheckpointsByInstance.With("a", []string{"m1"})
			})
			time.Sleep(3 * time.Second)
			defer use(v, "m2")()
			defer use(v, "m3")()
			use(v, "m4")()
			time.Sleep(3 * time.Second)
			use(v, "m1")()
			v.Equal(heldCheckpoints(v.engine), []string{"m1", "m2", "m3"})
		},
		"a new version replaces the old one": func(v env) {
			use(v, "m1")()
			v.view.update(func(view *controlstate.View) {
				view.Models = view.Models.With("m1", config.Model{Pool: "gpu", MemoryMiB: 30, Version: "2"})
			})
			time.Sleep(2 * time.Second)
			use(v, "m1")()
			h, _ := v.engine.MemoryState(v.ctx)
			v.Equal(h.Checkpoints[0].Version, "2")
		},
		"the configured minimum stays loaded": func(v env) {
			v.view.update(func(view *controlstate.View) {
				view.Models = view.Models.With("m1", config.Model{Pool: "gpu", MemoryMiB: 30, MinReplicas: 1})
				view.CheckpointsByInstance = view.CheckpointsByInstance.With("a", []string{"m1", "m2"})
			})
			time.Sleep(5 * time.Second)
			v.Equal(heldCheckpoints(v.engine), []string{"m1"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				m, view, e := newTestManager(ctx, 5, time.Second)
				time.Sleep(2 * time.Second)
				scenario(env{is.New(t), ctx, m, view, e})
				cancel()
				synctest.Wait()
				time.Sleep(5 * time.Minute)
			})
		})
	}
}

// TestGapHistogram guards against keeping a checkpoint loaded over gaps that cost
// more than a reload, and against unloading one that is soon used again.
func TestGapHistogram(t *testing.T) {
	const initial, coldStartCost = 5 * time.Minute, 10 * time.Minute
	regular := slices.Repeat([]time.Duration{8 * time.Minute, 9 * time.Minute}, 9)
	for _, tc := range []struct {
		name   string
		gaps   []time.Duration
		from   time.Duration
		to     time.Duration
		within time.Duration
	}{
		{"no gaps recorded", nil, 0, initial, 0},
		{"short gaps only", slices.Repeat([]time.Duration{20 * time.Second}, 9), 0, 20 * time.Second, 10 * time.Second},
		{"long gaps only", slices.Repeat([]time.Duration{5*time.Hour + time.Minute, 9 * time.Hour}, 9), 0, 0, 0},
		{"gaps too long to stay loaded", slices.Repeat([]time.Duration{30 * time.Hour}, 9), 0, 0, 0},
		{"short gaps and then a long one", []time.Duration{time.Minute, time.Minute, time.Minute, 9 * time.Hour}, 0, time.Minute, 20 * time.Second},
		{"regular gaps", regular, 8 * time.Minute, 9 * time.Minute, 40 * time.Second},
	} {
		is := is.New(t)
		var w GapHistogram
		for _, g := range tc.gaps {
			w.Record(g)
		}
		got := w.Window(initial, coldStartCost)
		t.Log(tc.name, got)
		is.True((got.From - tc.from).Abs() <= tc.within) // start of the window
		is.True((got.To - tc.to).Abs() <= tc.within)     // end of the window
	}
}
