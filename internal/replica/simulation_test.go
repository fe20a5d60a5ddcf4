package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/relay"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// phase is the point within one call of an interface at which a fault starts.
type phase int

const (
	beforeSend phase = iota
	beforeAnswer
	afterAnswer
	phaseCount
)

// step is a phase of the calls of one method. A fault can start at any step.
type step struct {
	method string
	phase  phase
}

// steps returns all steps of the interfaces that an instance calls. It reads
// the methods from the interface types, so a new method that no fake reports
// with reachStep makes the tests fail, because its faults never start.
func steps() []step {
	var all []step
	for _, iface := range []reflect.Type{
		reflect.TypeFor[backing.Log](), reflect.TypeFor[relay.Peer](), reflect.TypeFor[backing.InstanceList](),
	} {
		for i := range iface.NumMethod() {
			for p := range phaseCount {
				all = append(all, step{iface.Method(i).Name, p})
			}
		}
	}
	return all
}

// simulation holds the fake platform, the fake links between instances, and the
// state of their faults.
type simulation struct {
	mu            sync.Mutex
	start         time.Time
	rand          *rand.Rand
	disabledRules disabledRules
	log           *standin.Log
	nodes         map[string]*node // by address
	history       *history
	stepCounts    map[step]int
	// onTrigger is called once, the next time that the trigger step is reached
	// while armed is true.
	trigger   step
	armed     bool
	onTrigger func(at *node)
	ctx       context.Context
	wg        sync.WaitGroup

	// cut holds the pairs of names between which messages are lost. logDown and
	// logDelay describe the access to the log. The names are those of
	// addressNames.
	cut      map[[2]string]bool
	logDown  map[string]bool
	logDelay map[string]time.Duration
	// answerDelay delays the answers that a node receives, readDelay all log
	// reads.
	answerDelay map[string]time.Duration
	readDelay   time.Duration
	// onAppendConfirmed is called once, when an instance's append is confirmed.
	onAppendConfirmed func()
	loseAppendAnswers, duplicate,
	listEmpty, listKeepsKilled bool
	reorder time.Duration
}

func newSimulation(ctx context.Context, seed uint64, disabled disabledRules) *simulation {
	return &simulation{
		start: time.Now(), rand: rand.New(rand.NewPCG(seed, 1)), disabledRules: disabled, log: standin.NewLog(), ctx: ctx,
		nodes: map[string]*node{}, history: &history{liveModel: newReferenceModel()}, stepCounts: map[step]int{}, cut: map[[2]string]bool{},
		logDown: map[string]bool{}, logDelay: map[string]time.Duration{},
		answerDelay: map[string]time.Duration{},
	}
}

func (sim *simulation) now() time.Duration { return time.Since(sim.start) }

func (sim *simulation) set(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}

// reachStep counts a step and calls onTrigger if it is the trigger step.
func (sim *simulation) reachStep(method string, p phase, at *node) {
	sim.mu.Lock()
	s := step{method, p}
	sim.stepCounts[s]++
	triggered := sim.armed && s == sim.trigger
	if triggered {
		sim.armed = false
	}
	sim.mu.Unlock()
	if triggered {
		sim.onTrigger(at)
	}
}

// addressNames returns the names under which faults address a node.
func (n *node) addressNames() []string { return []string{n.dc, n.instance, "all"} }

// lookupFault returns the entry for the first address name that m contains.
func lookupFault[V any](m map[string]V, n *node) (found V) {
	for _, name := range n.addressNames() {
		if v, ok := m[name]; ok {
			return v
		}
	}
	return found
}

func (sim *simulation) linkCut(a, b *node) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, x := range a.addressNames() {
		for _, y := range b.addressNames() {
			if sim.cut[[2]string{x, y}] || sim.cut[[2]string{y, x}] {
				return true
			}
		}
	}
	return false
}

// transmit simulates one direction of a call. If the link is cut, the message
// is lost and transmit blocks until ctx ends.
func (sim *simulation) transmit(ctx context.Context, a, b *node) error {
	sim.mu.Lock()
	delay := time.Millisecond
	if sim.reorder > 0 {
		delay += time.Duration(a.rand.Int64N(int64(sim.reorder)))
	}
	sim.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	if sim.linkCut(a, b) {
		<-ctx.Done()
		return ctx.Err()
	}
	if b.dead() {
		return fmt.Errorf("connection to %s refused", b.instance)
	}
	return b.waitUnpaused(ctx)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
