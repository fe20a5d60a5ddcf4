package once_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/once/attempt"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// world is a small fleet: three entry instances, two agents and one partition.
type world struct {
	history
	ctx     context.Context
	seed    uint64
	off     rules
	log     *standin.Log
	view    atomic.Pointer[fold.View]
	entries []*node
	agents  []*node
	caller  *node

	mu     sync.Mutex
	faults standin.LogFaults
	rng    *rand.Rand
	plan   []*armed
	// lose is the number of dispatches that still get lost before the agent.
	lose int
	// late, twice and mixed are the messages of F18 still to come.
	late, twice, mixed, lateAppends int
	lastAnswer                      *once.StateAnswer
	lastSettle                      once.SettleAnswer
	reached                         map[point]int
}

type rules struct {
	once.RulesOff
	fencing bool
}

// node is one process. Its messages pass through the stand-in network.
type node struct {
	*standin.Process
	w      *world
	ref    record.InstanceRef
	client *once.Client
	writer *once.Writer
	runner atomic.Pointer[attempt.Runner]
	frozen atomic.Pointer[fold.View]
	// arrived holds the attempts that reached an agent.
	arrived sync.Map
}

func (n *node) View() *fold.View {
	if v := n.frozen.Load(); v != nil {
		return v
	}
	return n.w.view.Load()
}

func (n *node) MayWork() bool { return true }

var simOptions = once.Options{
	Partitions: 1, KeepFor: 60 * time.Second, Skew: time.Second,
	SnapshotEvery: 4 * time.Second, AppendsPerS: 50,
}

func newWorld(ctx context.Context, seed uint64, off rules, lose int, plan []*armed) *world {
	w := &world{ctx: ctx, seed: seed, off: off, lose: lose, plan: plan, log: standin.NewLog(), reached: map[point]int{}}
	w.rng = rand.New(rand.NewPCG(seed, 1))
	w.view.Store(fold.Empty())
	w.setLog(func(f *standin.LogFaults) { f.Delay = 5 * time.Millisecond })
	w.caller = &node{w: w, Process: standin.NewProcess(ctx)}
	for i := range 3 {
		n := w.addNode(fmt.Sprintf("entry-%d", i), record.RoleEntry)
		opts := simOptions
		n.client = once.NewClient(n.ref, n, peers{n}, peers{n}, opts, w.random(uint64(i)))
		n.client.Hook(func(s once.Step) { w.at(n, point{step: int(s)}) }, off.RulesOff)
		n.writer = once.NewHookedWriter(w.logOf(n), n, n.ref, opts, w.random(uint64(10+i)), func(s once.Step) { w.at(n, point{step: int(s)}) }, off.RulesOff)
		w.entries = append(w.entries, n)
		go n.writer.Run(n.Context())
	}
	for i := range 2 {
		n := w.addNode(fmt.Sprintf("agent-%d", i), record.RoleAgent)
		w.agents = append(w.agents, n)
		n.restart(n.ref.Incarnation)
	}
	return w
}

// random returns a source that is safe for the goroutines of one node.
func (w *world) random(stream uint64) *rand.ChaCha8 {
	var seed [32]byte
	seed[0], seed[1], seed[2] = byte(w.seed), byte(w.seed>>8), byte(stream)
	return rand.NewChaCha8(seed)
}

func (w *world) addNode(name string, role record.Role) *node {
	n := &node{w: w, Process: standin.NewProcess(w.ctx), ref: record.InstanceRef{Instance: name, Incarnation: name + "-1"}}
	w.join(n.ref, role)
	return n
}

func (w *world) logOf(n *node) platform.Log {
	late := func() bool { return w.take(&w.lateAppends) }
	return standin.ProcessLog{Process: n.Process, Log: w.log, Late: late, LateBy: 3 * time.Second}
}

func (w *world) join(ref record.InstanceRef, role record.Role) {
	w.control(record.MemberJoin{Instance: ref.Instance, Incarnation: ref.Incarnation, Role: role, DataCentre: "a"})
}

func (w *world) gone(ref record.InstanceRef) {
	w.control(record.MemberGone{Instance: ref.Instance, Incarnation: ref.Incarnation, Reason: record.GoneSilent})
}

func (w *world) control(b record.Body) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, _ := record.New("test", 0, b)
	v := w.view.Load()
	next, _ := v.Apply(v.Offset+1, e)
	w.view.Store(next)
}

// restart gives an agent an empty attempt table under a new incarnation.
func (n *node) restart(incarnation string) {
	n.ref.Incarnation = incarnation
	table, err := attempt.New(n.ref, attempt.Limits{})
	if err != nil {
		panic(err)
	}
	n.runner.Store(&attempt.Runner{Table: table, Observe: func(s attempt.Step) { n.w.at(n, point{agent: true, step: int(s)}) }})
}

func (w *world) setLog(change func(*standin.LogFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
	w.log.SetFaults(w.faults)
}

func (w *world) take(counter *int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}
