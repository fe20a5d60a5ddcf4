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
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// fixed is a view that the test sets; it also stands in for slots and reports.
type fixed struct {
	// busy makes preloads wait for their slot.
	busy atomic.Bool
	view atomic.Pointer[fold.View]
	age  atomic.Int64
}

func (f *fixed) View() *fold.View                          { return f.view.Load() }
func (f *fixed) Age() time.Duration                        { return time.Duration(f.age.Load()) }
func (f *fixed) MayWork() bool                             { return f.Age() <= viewBound }
func (f *fixed) Append(context.Context, record.Body) error { return nil }

// Slot implements Slots.
func (f *fixed) Slot(ctx context.Context, l Load) (func(), error) {
	if l.Preload && f.busy.Load() {
		<-ctx.Done()
	}
	return func() {}, ctx.Err()
}

// change replaces the view by a changed copy.
func (f *fixed) change(edit func(*fold.View)) {
	view := *f.View()
	edit(&view)
	f.view.Store(&view)
}

// fixture returns an account of instance a, home of n models of 30 MiB each and
// of the adapter m0:x, beside an engine of 100 MiB.
func fixture(ctx context.Context, n int, fetch time.Duration) (*Account, *fixed, *standin.EngineMemory) {
	join := record.MemberJoin{Instance: "a", Incarnation: "1", Pool: "gpu"}
	v := fold.Empty()
	v.Members = v.Members.With("a", fold.Member{MemberJoin: join})
	v.Pools = v.Pools.With("gpu", config.Pool{MemoryMiB: engineMiB})
	home := fold.Homes{Offset: 5, Active: []record.HomeRef{{Instance: "a", Incarnation: "1"}}}
	for i := range n {
		id := fmt.Sprint("m", i)
		v.Models = v.Models.With(id, config.Model{Pool: "gpu", MemoryMiB: 30})
		v.Homes = v.Homes.With(id, home)
	}
	v.Adapters = v.Adapters.With("x", config.Adapter{Model: "m0", MemoryMiB: 5})
	v.Homes = v.Homes.With("m0:x", home)
	f := &fixed{}
	f.view.Store(v)
	e := standin.NewEngineMemory("a", engineMiB, true, standin.NewFetchStore(fetch, 64, 1000))
	a := New(Options{Self: join, Views: f, Slots: f, Reports: f, Orders: e, Log: zap.NewNop(), Config: Config{KeepWarm: time.Hour}})
	go a.Run(ctx)
	return a, f, e
}

func held(e *standin.EngineMemory) (out []string) {
	h, _ := e.MemoryState(context.Background())
	for _, c := range h.Checkpoints {
		out = append(out, c.Checkpoint)
	}
	return out
}

func count(e *standin.EngineMemory, k standin.EngineEventKind) (n int) {
	for _, ev := range e.History() {
		if ev.Kind == k {
			n++
		}
	}
	return n
}

// TestAccount holds one scenario per rule of the account beside the matrix.
func TestAccount(t *testing.T) {
	type env struct {
		*is.I
		ctx context.Context
		a   *Account
		f   *fixed
		e   *standin.EngineMemory
	}
	use := func(v env, cp string) func() {
		release, err := v.a.Acquire(v.ctx, cp, "t", time.Now().Add(20*time.Second))
		v.NoErr(err)
		return release
	}
	refused := func(v env, cp string, k errkind.Kind) {
		_, err := v.a.Acquire(v.ctx, cp, "t", time.Now().Add(3*time.Second))
		v.True(errkind.Is(err, k)) // kind of refusal
		v.Equal(errkind.From(err).Ran, errkind.RanNo)
	}
	for name, scenario := range map[string]func(env){
		"concurrent wakes share one load": func(v env) {
			done := make(chan func())
			for range 20 {
				go func() { done <- use(v, "m1") }()
			}
			for range 20 {
				(<-done)()
			}
			v.Equal(count(v.e, standin.EngineLoading), 1)
			v.Equal(v.a.replica("m1").inUse(), int64(0))
		},
		"an adapter brings its base model": func(v env) {
			use(v, "m0:x")()
			v.Equal(held(v.e), []string{"m0", "m0:x"})
		},
		"a base model is evicted with its idle adapter": func(v env) {
			use(v, "m0:x")()
			defer use(v, "m1")()
			defer use(v, "m2")()
			time.Sleep(time.Second)
			use(v, "m3")()
			v.Equal(held(v.e), []string{"m1", "m2", "m3"})
		},
		"memory in use is refused, never evicted": func(v env) {
			defer use(v, "m1")()
			defer use(v, "m2")()
			defer use(v, "m3")()
			refused(v, "m4", errkind.MemoryFull)
			v.Equal(count(v.e, standin.EngineDropped), 0)
		},
		"not a home":   func(v env) { refused(v, "other", errkind.NotHome) },
		"view too old": func(v env) { v.f.age.Store(int64(4 * time.Second)); refused(v, "m1", errkind.ViewStale) },
		"replaced": func(v env) {
			v.f.change(func(view *fold.View) {
				view.Members = view.Members.With("a", fold.Member{MemberJoin: record.MemberJoin{Instance: "a", Incarnation: "2"}})
			})
			refused(v, "m1", errkind.Fenced)
		},
		"deadline passes while loading": func(v env) {
			_, err := v.a.Acquire(v.ctx, "m1", "t", time.Now().Add(100*time.Millisecond))
			v.True(errkind.Is(err, errkind.DeadlineUnmet))
			time.Sleep(5 * time.Second)
			v.Equal(held(v.e), []string{"m1"}) // the load goes on
		},
		"the engine does not answer": func(v env) {
			v.e.SetFaults(standin.EngineFaults{Down: true})
			refused(v, "m1", errkind.LoadFailed)
		},
		"an old view unloads idle replicas only": func(v env) {
			use(v, "m1")()
			defer use(v, "m2")()
			v.f.age.Store(int64(31 * time.Second))
			time.Sleep(3 * time.Second)
			v.Equal(held(v.e), []string{"m2"})
		},
		"a lost home is unloaded after its last request": func(v env) {
			release := use(v, "m1")
			v.f.change(func(view *fold.View) {
				view.Homes = view.Homes.With("m1", fold.Homes{Offset: 6})
			})
			time.Sleep(3 * time.Second)
			v.Equal(held(v.e), []string{"m1"})
			release()
			time.Sleep(3 * time.Second)
			v.Equal(len(held(v.e)), 0)
		},
		"a checkpoint evicted without warning is loaded again": func(v env) {
			use(v, "m1")()
			v.e.Evict()
			time.Sleep(2 * time.Second)
			use(v, "m1")()
			v.Equal(count(v.e, standin.EngineLoading), 2)
		},
		"idle for longer than the keep-warm time": func(v env) {
			use(v, "m1")()
			time.Sleep(time.Hour + 3*time.Second)
			v.Equal(len(held(v.e)), 0)
		},
		"a regular use finds the checkpoint loaded again": func(v env) {
			v.f.change(func(view *fold.View) {
				view.CheckpointsAt = view.CheckpointsAt.With("a", []string{"m1"})
			})
			for range 5 {
				use(v, "m1")()
				time.Sleep(8 * time.Minute)
			}
			loads := count(v.e, standin.EngineLoading)
			use(v, "m1")()
			time.Sleep(3 * time.Minute)
			v.Equal(len(held(v.e)), 0) // unloaded between the uses
			time.Sleep(5 * time.Minute)
			v.Equal(held(v.e), []string{"m1"}) // and loaded ahead of the next
			v.Equal(count(v.e, standin.EngineLoading), loads+1)
		},
		"requests do not wait behind a preload or its memory": func(v env) {
			v.f.busy.Store(true)
			v.f.change(func(view *fold.View) {
				view.Models = view.Models.With("m1", config.Model{Pool: "gpu", MemoryMiB: 30, MinReplicas: 1})
				view.CheckpointsAt = view.CheckpointsAt.With("a", []string{"m1"})
			})
			time.Sleep(3 * time.Second)
			defer use(v, "m2")()
			defer use(v, "m3")()
			use(v, "m4")()
			time.Sleep(3 * time.Second)
			use(v, "m1")()
			v.Equal(held(v.e), []string{"m1", "m2", "m3"})
		},
		"a new version replaces the old one": func(v env) {
			use(v, "m1")()
			v.f.change(func(view *fold.View) {
				view.Models = view.Models.With("m1", config.Model{Pool: "gpu", MemoryMiB: 30, Version: "2"})
			})
			time.Sleep(2 * time.Second)
			use(v, "m1")()
			h, _ := v.e.MemoryState(v.ctx)
			v.Equal(h.Checkpoints[0].Version, "2")
		},
		"the configured minimum stays loaded": func(v env) {
			v.f.change(func(view *fold.View) {
				view.Models = view.Models.With("m1", config.Model{Pool: "gpu", MemoryMiB: 30, MinReplicas: 1})
				view.CheckpointsAt = view.CheckpointsAt.With("a", []string{"m1", "m2"})
			})
			time.Sleep(5 * time.Second)
			v.Equal(held(v.e), []string{"m1"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				a, f, e := fixture(ctx, 5, time.Second)
				time.Sleep(2 * time.Second)
				scenario(env{is.New(t), ctx, a, f, e})
				cancel()
				synctest.Wait()
				time.Sleep(5 * time.Minute)
			})
		})
	}
}

// TestWarmth guards against holding a checkpoint over gaps that cost more than
// a reload, and against unloading one that returns soon.
func TestWarmth(t *testing.T) {
	const initial, price = 5 * time.Minute, 10 * time.Minute
	regular := slices.Repeat([]time.Duration{8 * time.Minute, 9 * time.Minute}, 9)
	for _, tc := range []struct {
		name   string
		gaps   []time.Duration
		from   time.Duration
		to     time.Duration
		within time.Duration
	}{
		{"nothing learned", nil, 0, initial, 0},
		{"short gaps only", slices.Repeat([]time.Duration{20 * time.Second}, 9), 0, 20 * time.Second, 10 * time.Second},
		{"long gaps only", slices.Repeat([]time.Duration{5*time.Hour + time.Minute, 9 * time.Hour}, 9), 0, 0, 0},
		{"longer than can be bridged", slices.Repeat([]time.Duration{30 * time.Hour}, 9), 0, 0, 0},
		{"short gaps and then a long one", []time.Duration{time.Minute, time.Minute, time.Minute, 9 * time.Hour}, 0, time.Minute, 20 * time.Second},
		{"regular gaps", regular, 8 * time.Minute, 9 * time.Minute, 40 * time.Second},
	} {
		is := is.New(t)
		var w Warmth
		for _, g := range tc.gaps {
			w.Record(g)
		}
		got := w.Window(initial, price)
		t.Log(tc.name, got)
		is.True((got.From - tc.from).Abs() <= tc.within) // begin of the window
		is.True((got.To - tc.to).Abs() <= tc.within)     // end of the window
	}
}
