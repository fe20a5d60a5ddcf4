package residency

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

const (
	engineMiB = 100
	runTime   = 75 * time.Second
)

var worldModels = map[string]config.Model{
	"m1": {Pool: "gpu", MemoryMiB: 60, MaxReplicas: 1},
	"m2": {Pool: "gpu", MemoryMiB: 50, MaxReplicas: 2},
	"m3": {Pool: "gpu", MemoryMiB: 30, MaxReplicas: 1},
}

var worldCheckpoints = []string{"m1", "m1:x", "m2", "m3"}

// injection is a fault that strikes instance a at the nth pass of a step.
type injection struct {
	fault fault
	step  Step
	nth   int
}

// cell is one run of the matrix.
type cell struct {
	checks bool
	off    rules
	faults []injection
	seed   uint64
}

// world runs two agents with an engine each against the in-memory log.
type world struct {
	cell
	logger  *zap.Logger
	log     *standin.Log
	store   *standin.FetchStore
	engines map[string]*standin.EngineMemory
	ctx     context.Context
	tasks   sync.WaitGroup

	mu     sync.Mutex
	live   map[string]*process
	passed map[Step]bool
	served int
	// homes is what the scripted planner aims at.
	homes  map[string][]string
	serial int
}

func newWorld(t *testing.T, ctx context.Context, c cell) *world {
	w := &world{
		cell: c, ctx: ctx, logger: zaptest.NewLogger(t, zaptest.Level(zap.DPanicLevel)),
		log: standin.NewLog(), store: standin.NewFetchStore(700*time.Millisecond, 4, 4),
		engines: make(map[string]*standin.EngineMemory), live: make(map[string]*process),
		passed: make(map[Step]bool),
		homes:  map[string][]string{"m1": {"a"}, "m1:x": {"a"}, "m2": {"a", "b"}, "m3": {"a"}},
	}
	w.log.SetFaults(standin.LogFaults{Delay: time.Millisecond})
	w.configure()
	for _, id := range []string{"a", "b"} {
		w.engines[id] = standin.NewEngineMemory(id, engineMiB, c.checks, w.store)
		w.engines[id].SetFaults(standin.EngineFaults{Delay: 2 * time.Millisecond})
		w.start(id)
	}
	return w
}

func (w *world) configure() {
	put := func(s record.Section, id string, v any) record.EntryChange {
		data, _ := json.Marshal(v)
		return record.EntryChange{Section: s, ID: id, Value: data}
	}
	changes := []record.EntryChange{
		put(record.SectionPools, "gpu", config.Pool{Kind: config.PoolEngine, MemoryMiB: engineMiB, ChecksFencing: w.checks}),
		put(record.SectionAdapters, "x", config.Adapter{Model: "m1", MemoryMiB: 5, MaxReplicas: 1}),
	}
	for id, m := range worldModels {
		changes = append(changes, put(record.SectionModels, id, m))
	}
	_ = w.append(w.ctx, record.ConfigChange{Changes: changes})
}

// start runs a new incarnation of the agent of an instance.
func (w *world) start(instance string) {
	w.mu.Lock()
	w.serial++
	join := record.MemberJoin{
		Instance: instance, Incarnation: fmt.Sprint(instance, w.serial), Role: record.RoleAgent, DataCentre: "dc", Pool: "gpu",
	}
	p := &process{w: w, join: join, view: fold.Empty(), hits: make(map[Step]int)}
	w.mu.Unlock()
	p.ctx, p.cancel = context.WithCancel(w.ctx)
	p.account = New(Options{
		Self: join, Views: p, Slots: p, Reports: p, Orders: gated{w.engines[instance], p}, Log: w.logger,
		Config: Config{OrderTimeout: 5 * time.Second, KeepWarm: 4 * time.Second},
	})
	p.account.hook, p.account.off = p.step, w.off
	w.mu.Lock()
	w.live[instance] = p
	w.mu.Unlock()
	w.spawn(p.follow)
	w.spawn(func() { p.rejoin() })
	w.spawn(func() { p.account.Run(p.ctx) })
}

// rejoin appends the join until the view shows it, and starts the next
// incarnation when the view shows that this one has ended.
func (p *process) rejoin() {
	joined := false
	for sleep(p.ctx, 100*time.Millisecond) == nil {
		p.gate()
		m, ok := p.View().Members.Get(p.join.Instance)
		mine := ok && m.Incarnation == p.join.Incarnation
		joined = joined || mine
		switch {
		case !joined:
			_ = p.w.append(p.ctx, p.join)
		case !mine && !ok:
			p.cancel()
			p.w.start(p.join.Instance)
			return
		}
	}
}

func (w *world) spawn(f func()) { w.tasks.Go(f) }

func (w *world) append(ctx context.Context, body record.Body) error {
	e, err := record.New("test", 0, body)
	if err != nil {
		return err
	}
	data, _ := e.Encode()
	_, err = w.log.Append(ctx, record.ControlStream, []json.RawMessage{data})
	return err
}

func (w *world) read(p *process, after platform.Offset) (platform.Page, error) {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut {
		return platform.Page{}, platform.ErrUnavailable
	}
	return w.log.Read(p.ctx, record.ControlStream, after, 100, 200*time.Millisecond)
}

func (w *world) current(instance string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.live[instance]
}

// call uses random checkpoints at one instance until the run ends.
func (w *world) call(instance string, stream uint64) {
	rng := rand.New(rand.NewPCG(w.seed, stream))
	for w.ctx.Err() == nil {
		p := w.current(instance)
		cp := worldCheckpoints[rng.IntN(len(worldCheckpoints))]
		release, err := p.account.Acquire(w.ctx, cp, "team", time.Now().Add(8*time.Second))
		if err != nil {
			_ = sleep(w.ctx, time.Duration(100+rng.IntN(400))*time.Millisecond)
			continue
		}
		_ = sleep(w.ctx, time.Duration(20+rng.IntN(200))*time.Millisecond)
		release()
		w.mu.Lock()
		w.served++
		w.mu.Unlock()
		_ = sleep(w.ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
	}
}

// plan moves the recorded homes towards w.homes in the steps that H1 allows.
func (w *world) plan() {
	view := fold.Empty()
	for sleep(w.ctx, 200*time.Millisecond) == nil {
		page, err := w.log.Read(w.ctx, record.ControlStream, view.Offset, 1000, 0)
		if err != nil {
			continue
		}
		for _, rec := range page.Records {
			view, _, _ = view.ApplyRecord(rec)
		}
		if entries := w.entries(view); len(entries) > 0 {
			_ = w.append(w.ctx, record.PlaceHomes{Entries: entries})
		}
	}
}

func (w *world) entries(view *fold.View) []record.HomeAssignment {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []record.HomeAssignment
	for _, cp := range slices.Sorted(maps.Keys(w.homes)) {
		instances := w.homes[cp]
		old, _ := view.Homes.Get(cp)
		var keep, add []record.InstanceRef
		for _, id := range instances {
			m, ok := view.Members.Get(id)
			if ok && old.Has(m.Ref()) {
				keep = append(keep, m.Ref())
			} else if ok {
				add = append(add, m.Ref())
			}
		}
		occupied := len(old.Active) + len(old.Releasing)
		room := max(0, view.MaxReplicas(cp)-occupied)
		keep = append(keep, add[:min(room, len(add))]...)
		if !slices.Equal(keep, old.Active) {
			out = append(out, record.HomeAssignment{Checkpoint: cp, Base: old.Offset, Homes: keep})
		}
	}
	return out
}

// moveHomes sends m1 and its adapter back and forth.
func (w *world) moveHomes() {
	for i := 0; sleep(w.ctx, 12*time.Second) == nil; i++ {
		to := []string{"b", "a"}[i%2]
		w.mu.Lock()
		w.homes["m1"], w.homes["m1:x"], w.homes["m3"] = []string{to}, []string{to}, []string{to}
		w.mu.Unlock()
	}
}
