package atmostonce_test

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// faultPoint is a step of an entry instance or an agent at which a fault can be injected.
type faultPoint struct {
	agent bool
	step  int
}

// scheduledFault is injected into the node that reaches the point for the nth time.
type scheduledFault struct {
	at    faultPoint
	nth   int
	fault fault
	// triggered reports whether the run reached the point.
	triggered bool
}

type fault struct {
	name   string
	inject func(*simulation, *node)
}

// onStep is called by the code under test at each step.
func (sim *simulation) onStep(n *node, p faultPoint) {
	sim.mu.Lock()
	sim.reached[p]++
	count := sim.reached[p]
	var due []fault
	for _, a := range sim.plan {
		if a.at == p && a.nth == count {
			due = append(due, a.fault)
			a.triggered = true
		}
	}
	sim.mu.Unlock()
	for _, f := range due {
		f.inject(sim, n)
	}
	n.WaitWhilePaused()
}

func (sim *simulation) after(d time.Duration, do func()) {
	go func() {
		time.Sleep(d)
		do()
	}()
}

// killNode ends a process. For an agent, a new incarnation starts and its join
// ends the old one. An entry instance is removed from the members after the given
// time.
func killNode(sim *simulation, n *node, removeAfter time.Duration) {
	n.Kill()
	ref := n.ref
	if n.runner.Load() == nil {
		sim.after(removeAfter, func() { sim.removeMember(ref) })
		return
	}
	sim.after(removeAfter/3, func() { n.rejoin() })
}

func (n *node) rejoin() {
	next := n.ref
	next.Incarnation += "x"
	n.sim.join(next, "agent")
	n.restart(next.Incarnation)
	n.Restart(n.sim.ctx)
}

func (sim *simulation) logFault(d time.Duration, set func(*standin.LogFaults, bool)) {
	sim.setLog(func(f *standin.LogFaults) { set(f, true) })
	sim.after(d, func() { sim.setLog(func(f *standin.LogFaults) { set(f, false) }) })
}

func (sim *simulation) increase(counter *int, n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	*counter += n
}

var faults = []fault{
	{"F1 killed", func(sim *simulation, n *node) { killNode(sim, n, 13*time.Second) }},
	{"F3 agents replaced", func(sim *simulation, _ *node) {
		for _, a := range sim.agents {
			if !a.Dead() {
				killNode(sim, a, time.Second)
			}
		}
	}},
	{"F6 log down for all", func(sim *simulation, _ *node) {
		sim.logFault(8*time.Second, func(f *standin.LogFaults, on bool) { f.Down = on })
	}},
	{"F6 log down for one", func(_ *simulation, n *node) { n.BlockLog(30 * time.Second) }},
	{"F7 answers lost", func(sim *simulation, _ *node) {
		sim.logFault(3*time.Second, func(f *standin.LogFaults, on bool) { f.LoseResponses = on })
	}},
	{"F7 append late", func(sim *simulation, _ *node) { sim.increase(&sim.delayAppends, 2) }},
	{"F8 paused", func(sim *simulation, n *node) {
		n.Pause(20 * time.Second)
		if n.runner.Load() == nil {
			sim.after(10*time.Second, func() { sim.removeMember(n.ref) })
		}
	}},
	{"F11 silent", func(_ *simulation, n *node) { n.Blackhole(30 * time.Second) }},
	{"F12 dead stays listed", func(sim *simulation, n *node) { killNode(sim, n, 40*time.Second) }},
	{"F12 live one missing", func(sim *simulation, n *node) { sim.removeMember(n.ref) }},
	{"F13 cut off", func(sim *simulation, n *node) {
		n.Blackhole(25 * time.Second)
		n.BlockLog(25 * time.Second)
		n.frozen.Store(sim.view.Load())
		sim.after(25*time.Second, func() { n.frozen.Store(nil) })
	}},
	{"F17 records expire", func(sim *simulation, _ *node) {
		sim.setLog(func(f *standin.LogFaults) { f.Retain = 3 })
	}},
	{"F18 dispatch twice", func(sim *simulation, _ *node) { sim.increase(&sim.duplicateDispatches, 2) }},
	{"F18 dispatch late", func(sim *simulation, _ *node) { sim.increase(&sim.delayDispatches, 1) }},
	{"F18 answers mixed up", func(sim *simulation, _ *node) { sim.increase(&sim.swapResponses, 3) }},
}
