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

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

const (
	engineMiB = 100
	runTime   = 75 * time.Second
)

var clusterModels = map[string]config.Model{
	"m1": {Pool: "gpu", MemoryMiB: 60, MaxReplicas: 1},
	"m2": {Pool: "gpu", MemoryMiB: 50, MaxReplicas: 2},
	"m3": {Pool: "gpu", MemoryMiB: 30, MaxReplicas: 1},
}

var clusterCheckpoints = []string{"m1", "m1:x", "m2", "m3"}

// injection is a fault that is injected at instance a when it reaches a step for
// the pass-th time.
type injection struct {
	fault fault
	step  Step
	pass  int
}

// cell is one run of the fault matrix.
type cell struct {
	checksFencing bool
	overrides     ruleOverrides
	faults        []injection
	seed          uint64
}

// cluster runs two agents, each with an engine, against an in-memory log.
type cluster struct {
	cell
	logger  *zap.Logger
	log     *standin.Log
	store   *standin.FaultyWeightStore
	engines map[string]*standin.FaultyEngine
	ctx     context.Context
	tasks   sync.WaitGroup

	mu          sync.Mutex
	processes   map[string]*process
	passedSteps map[Step]bool
	served      int
	// targetHomes is the assignment that the scripted planner works towards.
	targetHomes  map[string][]string
	incarnations int
}

func newCluster(t *testing.T, ctx context.Context, run cell) *cluster {
	c := &cluster{
		cell: run, ctx: ctx, logger: zaptest.NewLogger(t, zaptest.Level(zap.DPanicLevel)),
		log: standin.NewLog(), store: standin.NewFaultyWeightStore(700*time.Millisecond, 4, 4),
		engines: make(map[string]*standin.FaultyEngine), processes: make(map[string]*process),
		passedSteps: make(map[Step]bool),
		targetHomes: map[string][]string{"m1": {"a"}, "m1:x": {"a"}, "m2": {"a", "b"}, "m3": {"a"}},
	}
	c.log.SetFaults(standin.LogFaults{Delay: time.Millisecond})
	c.configure()
	for _, id := range []string{"a", "b"} {
		c.engines[id] = standin.NewFaultyEngine(id, engineMiB, run.checksFencing, c.store)
		c.engines[id].SetFaults(standin.EngineFaults{Delay: 2 * time.Millisecond})
		c.start(id)
	}
	return c
}

func (c *cluster) configure() {
	entry := func(s record.Section, id string, v any) record.EntryChange {
		data, _ := json.Marshal(v)
		return record.EntryChange{Section: s, ID: id, Value: data}
	}
	changes := []record.EntryChange{
		entry(record.SectionPools, "gpu", config.Pool{Kind: config.PoolEngine, MemoryMiB: engineMiB, ChecksFencing: c.checksFencing}),
		entry(record.SectionAdapters, "x", config.Adapter{Model: "m1", MemoryMiB: 5, MaxReplicas: 1}),
	}
	for id, m := range clusterModels {
		changes = append(changes, entry(record.SectionModels, id, m))
	}
	_ = c.append(c.ctx, record.ConfigChange{Changes: changes})
}

// start runs a new incarnation of the instance's agent.
func (c *cluster) start(instance string) {
	c.mu.Lock()
	c.incarnations++
	join := record.MemberJoin{
		Instance: instance, Incarnation: fmt.Sprint(instance, c.incarnations), Role: record.RoleAgent, DataCentre: "dc", Pool: "gpu",
	}
	p := &process{cluster: c, join: join, view: controlstate.Empty(), stepCounts: make(map[Step]int)}
	c.mu.Unlock()
	p.ctx, p.cancel = context.WithCancel(c.ctx)
	p.manager = New(Options{
		Self: join, Views: p, Slots: p, Records: p, Orders: pausableOrders{c.engines[instance], p}, Log: c.logger,
		Config: Config{OrderTimeout: 5 * time.Second, KeepWarm: 4 * time.Second},
	})
	p.manager.hook, p.manager.overrides = p.reachStep, c.overrides
	c.mu.Lock()
	c.processes[instance] = p
	c.mu.Unlock()
	c.spawn(p.followLog)
	c.spawn(func() { p.maintainMembership() })
	c.spawn(func() { p.manager.Run(p.ctx) })
}

// maintainMembership appends the join record until the view shows it, and starts
// the next incarnation when the view shows that this one has ended.
func (p *process) maintainMembership() {
	joined := false
	for sleep(p.ctx, 100*time.Millisecond) == nil {
		p.waitIfPaused()
		m, ok := p.View().Members.Get(p.join.Instance)
		mine := ok && m.Incarnation == p.join.Incarnation
		joined = joined || mine
		switch {
		case !joined:
			_ = p.cluster.append(p.ctx, p.join)
		case !mine && !ok:
			p.cancel()
			p.cluster.start(p.join.Instance)
			return
		}
	}
}

func (c *cluster) spawn(f func()) { c.tasks.Go(f) }

func (c *cluster) append(ctx context.Context, body record.Body) error {
	e, err := record.New("test", 0, body)
	if err != nil {
		return err
	}
	data, _ := e.Encode()
	_, err = c.log.Append(ctx, record.ControlStream, []json.RawMessage{data})
	return err
}

func (c *cluster) readLog(p *process, after backing.Offset) (backing.Page, error) {
	p.mu.Lock()
	disconnected := p.disconnected
	p.mu.Unlock()
	if disconnected {
		return backing.Page{}, backing.ErrUnavailable
	}
	return c.log.Read(p.ctx, record.ControlStream, after, 100, 200*time.Millisecond)
}

func (c *cluster) currentProcess(instance string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[instance]
}

// runRequests acquires random checkpoints at one instance until the run ends.
func (c *cluster) runRequests(instance string, stream uint64) {
	rng := rand.New(rand.NewPCG(c.seed, stream))
	for c.ctx.Err() == nil {
		p := c.currentProcess(instance)
		cp := clusterCheckpoints[rng.IntN(len(clusterCheckpoints))]
		release, err := p.manager.Acquire(c.ctx, cp, "team", time.Now().Add(8*time.Second))
		if err != nil {
			_ = sleep(c.ctx, time.Duration(100+rng.IntN(400))*time.Millisecond)
			continue
		}
		_ = sleep(c.ctx, time.Duration(20+rng.IntN(200))*time.Millisecond)
		release()
		c.mu.Lock()
		c.served++
		c.mu.Unlock()
		_ = sleep(c.ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
	}
}

// runPlanner moves the recorded homes towards targetHomes in the steps that H1 allows.
func (c *cluster) runPlanner() {
	view := controlstate.Empty()
	for sleep(c.ctx, 200*time.Millisecond) == nil {
		page, err := c.log.Read(c.ctx, record.ControlStream, view.Offset, 1000, 0)
		if err != nil {
			continue
		}
		for _, rec := range page.Records {
			view, _, _ = view.ApplyRecord(rec)
		}
		if entries := c.homesEntries(view); len(entries) > 0 {
			_ = c.append(c.ctx, record.PlaceHomes{Entries: entries})
		}
	}
}

func (c *cluster) homesEntries(view *controlstate.View) []record.HomeAssignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []record.HomeAssignment
	for _, cp := range slices.Sorted(maps.Keys(c.targetHomes)) {
		instances := c.targetHomes[cp]
		old, _ := view.Homes.Get(cp)
		var keep, add []record.InstanceRef
		for _, id := range instances {
			m, ok := view.Members.Get(id)
			if ok && old.HasActive(m.Ref()) {
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

// moveHomes moves m1, its adapter and m3 back and forth between the instances.
func (c *cluster) moveHomes() {
	for i := 0; sleep(c.ctx, 12*time.Second) == nil; i++ {
		to := []string{"b", "a"}[i%2]
		c.mu.Lock()
		c.targetHomes["m1"], c.targetHomes["m1:x"], c.targetHomes["m3"] = []string{to}, []string{to}, []string{to}
		c.mu.Unlock()
	}
}
