package atmostonce_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/atmostonce/attempt"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// simulation is a small fleet: three entry instances, two agents and one partition.
type simulation struct {
	history
	ctx      context.Context
	seed     uint64
	disabled disabledRules
	log      *standin.Log
	view     atomic.Pointer[controlstate.View]
	entries  []*node
	agents   []*node
	caller   *node

	mu     sync.Mutex
	faults standin.LogFaults
	rng    *rand.Rand
	plan   []*scheduledFault
	// dropDispatches is the number of dispatches still to be lost before they reach the agent.
	dropDispatches int
	// delayDispatches, duplicateDispatches and swapResponses count the F18 faults
	// still to be injected.
	delayDispatches, duplicateDispatches, swapResponses, delayAppends int
	lastStateResponse                                                 *atmostonce.StateResponse
	lastSettleResponse                                                atmostonce.SettleResponse
	reached                                                           map[faultPoint]int
}

type disabledRules struct {
	atmostonce.DisabledRules
	fencing bool
}

// node is one process. Its messages pass through the simulated network of package standin.
type node struct {
	*standin.Process
	sim    *simulation
	ref    record.InstanceRef
	client *atmostonce.Client
	writer *atmostonce.Writer
	runner atomic.Pointer[attempt.Runner]
	frozen atomic.Pointer[controlstate.View]
	// arrived holds the attempts that reached the agent.
	arrived sync.Map
}

func (n *node) View() *controlstate.View {
	if v := n.frozen.Load(); v != nil {
		return v
	}
	return n.sim.view.Load()
}

func (n *node) MayWork() bool { return true }

var simOptions = atmostonce.Options{
	Partitions: 1, IdempotencyWindow: 60 * time.Second, MaxClockSkew: time.Second,
	SnapshotInterval: 4 * time.Second, AppendsPerSecond: 50,
}

func newSimulation(ctx context.Context, seed uint64, disabled disabledRules, dropDispatches int, plan []*scheduledFault) *simulation {
	sim := &simulation{ctx: ctx, seed: seed, disabled: disabled, dropDispatches: dropDispatches, plan: plan, log: standin.NewLog(), reached: map[faultPoint]int{}}
	sim.rng = rand.New(rand.NewPCG(seed, 1))
	sim.view.Store(controlstate.Empty())
	sim.setLog(func(f *standin.LogFaults) { f.Delay = 5 * time.Millisecond })
	sim.caller = &node{sim: sim, Process: standin.NewProcess(ctx)}
	for i := range 3 {
		n := sim.addNode(fmt.Sprintf("entry-%d", i), record.RoleEntry)
		opts := simOptions
		n.client = atmostonce.NewClient(n.ref, n, simPeers{n}, simPeers{n}, opts, sim.random(uint64(i)))
		n.client.SetTestHooks(func(s atmostonce.Step) { sim.onStep(n, faultPoint{step: int(s)}) }, disabled.DisabledRules)
		n.writer = atmostonce.NewWriterWithHooks(sim.logOf(n), n, n.ref, opts, sim.random(uint64(10+i)), func(s atmostonce.Step) { sim.onStep(n, faultPoint{step: int(s)}) }, disabled.DisabledRules)
		sim.entries = append(sim.entries, n)
		go n.writer.Run(n.Context())
	}
	for i := range 2 {
		n := sim.addNode(fmt.Sprintf("agent-%d", i), record.RoleAgent)
		sim.agents = append(sim.agents, n)
		n.restart(n.ref.Incarnation)
	}
	return sim
}

// random returns a random source for the goroutines of one node.
func (sim *simulation) random(stream uint64) *rand.ChaCha8 {
	var seed [32]byte
	seed[0], seed[1], seed[2] = byte(sim.seed), byte(sim.seed>>8), byte(stream)
	return rand.NewChaCha8(seed)
}

func (sim *simulation) addNode(name string, role record.Role) *node {
	n := &node{sim: sim, Process: standin.NewProcess(sim.ctx), ref: record.InstanceRef{Instance: name, Incarnation: name + "-1"}}
	sim.join(n.ref, role)
	return n
}

func (sim *simulation) logOf(n *node) backing.Log {
	late := func() bool { return sim.takeOne(&sim.delayAppends) }
	return standin.ProcessLog{Process: n.Process, Log: sim.log, DelayAppend: late, AppendDelay: 3 * time.Second}
}

func (sim *simulation) join(ref record.InstanceRef, role record.Role) {
	sim.control(record.MemberJoin{Instance: ref.Instance, Incarnation: ref.Incarnation, Role: role, DataCentre: "a"})
}

func (sim *simulation) removeMember(ref record.InstanceRef) {
	sim.control(record.MemberGone{Instance: ref.Instance, Incarnation: ref.Incarnation, Reason: record.GoneSilent})
}

func (sim *simulation) control(b record.Body) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e, _ := record.New("test", 0, b)
	v := sim.view.Load()
	next, _ := v.Apply(v.Offset+1, e)
	sim.view.Store(next)
}

// restart gives an agent an empty attempt table under a new incarnation.
func (n *node) restart(incarnation string) {
	n.ref.Incarnation = incarnation
	table, err := attempt.New(n.ref, attempt.Limits{})
	if err != nil {
		panic(err)
	}
	n.runner.Store(&attempt.Runner{Table: table, OnStep: func(s attempt.Step) { n.sim.onStep(n, faultPoint{agent: true, step: int(s)}) }})
}

func (sim *simulation) setLog(change func(*standin.LogFaults)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change(&sim.faults)
	sim.log.SetFaults(sim.faults)
}

func (sim *simulation) takeOne(counter *int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}
