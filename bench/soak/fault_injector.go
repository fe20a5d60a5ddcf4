package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// Pause between the starts of two faults.
	minPause, maxPause = 100 * time.Millisecond, 700 * time.Millisecond
	// Duration of one fault.
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 2500 * time.Millisecond
	// postFaultGrace is how long an entry instance still counts as faulty after a
	// fault ends: its timeouts and TCP retransmissions delay requests for longer.
	postFaultGrace = 3 * time.Second
	// drainTimeout is GraceS of bounds plus 3 s for a busy machine.
	drainTimeout = 8 * time.Second
)

// fault is a kind of fault or planned operation that can be injected.
type fault struct {
	name string
	// planned marks an operation that must not lose any request.
	planned bool
	inject  func(f *faultInjector, r *rand.Rand)
}

// faultInjector injects random faults one after another. Faults may overlap.
type faultInjector struct {
	tb        *testbed
	wg        sync.WaitGroup
	mu        sync.Mutex
	log       []string
	startTime time.Time
}

var faultKinds = []fault{
	{"entry killed", false, func(f *faultInjector, r *rand.Rand) { f.kill(f.randomEntry(r), r) }},
	{"entry paused", false, func(f *faultInjector, r *rand.Rand) { f.pause(f.randomEntry(r), r) }},
	{"agent killed", false, func(f *faultInjector, r *rand.Rand) { f.kill(f.randomAgent(r), r) }},
	{"agent paused", false, func(f *faultInjector, r *rand.Rand) { f.pause(f.randomAgent(r), r) }},
	{"upstream crash", false, func(f *faultInjector, r *rand.Rand) { f.crashUpstream(pick(r, f.tb.hosts), r) }},
	{"store down", false, func(f *faultInjector, r *rand.Rand) { f.failStore(r) }},
	{"link to the store", false, func(f *faultInjector, r *rand.Rand) { f.failLink(f.randomInstance(r).storeLink, r) }},
	{"link to an upstream", false, func(f *faultInjector, r *rand.Rand) { f.failLink(pick(r, f.tb.hosts).link, r) }},
	{"link of callers", false, func(f *faultInjector, r *rand.Rand) { f.failCallerLink(r) }},
	{"entry stopped", true, func(f *faultInjector, r *rand.Rand) { f.stopAndRestart(f.randomEntry(r), r) }},
	{"reload", true, func(f *faultInjector, r *rand.Rand) { f.signal(f.randomInstance(r), syscall.SIGHUP) }},
	{"configuration", true, func(f *faultInjector, _ *rand.Rand) { f.tb.publishConfig() }},
}

func pick[T any](r *rand.Rand, items []T) T { return items[r.IntN(len(items))] }

func randomDuration(r *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(r.Int64N(int64(upper-lower)))
}

func (f *faultInjector) randomEntry(r *rand.Rand) *instance { return pick(r, f.tb.entries) }
func (f *faultInjector) randomAgent(r *rand.Rand) *instance { return pick(r, f.tb.agents) }
func (f *faultInjector) randomInstance(r *rand.Rand) *instance {
	if r.IntN(2) == 0 {
		return f.randomEntry(r)
	}
	return f.randomAgent(r)
}

// run injects faults for the given duration, then waits until every fault has
// ended. With plannedOnly it skips all but planned operations; the random draws
// stay the same.
func (f *faultInjector) run(seed uint64, duration time.Duration, plannedOnly bool) {
	r := rand.New(rand.NewPCG(seed, 1))
	f.startTime = time.Now()
	for time.Since(f.startTime) < duration {
		next := pick(r, faultKinds)
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 2))
		pause := randomDuration(r, minPause, maxPause)
		if !plannedOnly || next.planned {
			f.logf("%s", next.name)
			next.inject(f, faultRand)
		}
		time.Sleep(pause)
	}
	f.wg.Wait()
}

func (f *faultInjector) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, fmt.Sprintf("%6.2f s %s", time.Since(f.startTime).Seconds(), fmt.Sprintf(format, args...)))
}

// undoLater ends a fault after a random duration.
func (f *faultInjector) undoLater(r *rand.Rand, undo func()) {
	delay := randomDuration(r, minFaultDuration, maxFaultDuration)
	f.wg.Go(func() {
		time.Sleep(delay)
		undo()
	})
}

// beginFault records that an entry instance is faulty until end is called. For
// an agent it does nothing.
func (f *faultInjector) beginFault(in *instance) (end func()) {
	for i, e := range f.tb.entries {
		if e == in {
			from := time.Now()
			// The end of the fault is not known yet. With an end an hour ahead, every
			// answer received meanwhile counts as affected by the fault.
			f.tb.checker.addFaultSpan(i, from, from.Add(time.Hour))
			return func() { f.tb.checker.setFaultEnd(i, from, time.Now().Add(postFaultGrace)) }
		}
	}
	return func() {}
}

func (f *faultInjector) signal(in *instance, s syscall.Signal) {
	if !in.signalMu.TryLock() {
		return
	}
	defer in.signalMu.Unlock()
	if err := in.Signal(s); err != nil {
		f.logf("%s: %v", in.Name, err)
	}
}

func (f *faultInjector) kill(in *instance, r *rand.Rand) {
	if !in.signalMu.TryLock() {
		return
	}
	end := f.beginFault(in)
	if err := in.Kill(); err != nil {
		f.logf("kill %s: %v", in.Name, err)
	}
	f.undoLater(r, func() { f.restart(in, end) })
}

// restart starts the instance again and, if it is an entry instance, waits at most
// startTimeout until it is ready. It then calls end and unlocks signalMu, which the
// caller locked.
func (f *faultInjector) restart(in *instance, end func()) {
	defer in.signalMu.Unlock()
	if err := in.Restart(); err != nil {
		f.logf("restart %s: %v", in.Name, err)
	}
	const pollInterval = 50 * time.Millisecond
	for deadline := time.Now().Add(startTimeout); in.readyAddr != "" && !in.ready() && time.Now().Before(deadline); {
		time.Sleep(pollInterval)
	}
	end()
}

func (f *faultInjector) pause(in *instance, r *rand.Rand) {
	if !in.signalMu.TryLock() {
		return
	}
	end := f.beginFault(in)
	if err := in.Signal(syscall.SIGSTOP); err != nil {
		f.logf("pause %s: %v", in.Name, err)
	}
	f.undoLater(r, func() {
		defer in.signalMu.Unlock()
		if err := in.Signal(syscall.SIGCONT); err != nil {
			f.logf("continue %s: %v", in.Name, err)
		}
		end()
	})
}

// stopAndRestart stops an entry instance gracefully and starts it again later.
// An instance that does not stop in time is a violation.
func (f *faultInjector) stopAndRestart(in *instance, r *rand.Rand) {
	if !in.signalMu.TryLock() {
		return
	}
	delay := randomDuration(r, minFaultDuration, maxFaultDuration)
	f.wg.Go(func() {
		if err := in.Stop(drainTimeout); err != nil {
			f.tb.checker.mu.Lock()
			f.tb.checker.addViolation("stop", "%v", err)
			f.tb.checker.mu.Unlock()
			in.KillIfRunning()
		}
		time.Sleep(delay)
		f.restart(in, func() {})
	})
}

// crashUpstream crashes an upstream and starts it again later. It removes
// the crashed process from the upstream list after a separate random delay.
func (f *faultInjector) crashUpstream(h *upstreamHost, r *rand.Rand) {
	old, ok := f.tb.crashUpstream(h)
	if !ok {
		return
	}
	deregisterDelay := randomDuration(r, minFaultDuration, maxFaultDuration)
	f.undoLater(r, func() {
		if err := f.tb.startUpstream(h); err != nil {
			f.logf("upstream %d: %v", h.index, err)
		}
	})
	f.wg.Go(func() {
		time.Sleep(deregisterDelay)
		f.tb.deregister(old)
	})
}

func (f *faultInjector) failStore(r *rand.Rand) {
	_ = f.tb.store.SetDown(true)
	f.undoLater(r, func() { _ = f.tb.store.SetDown(false) })
}

var linkFaults = []LinkFault{LinkDelayed, LinkStalled, LinkStalledToTarget, LinkStalledToCaller, LinkReset}

// One fault of a link to a server in breakOneIn breaks the server's responses.
const breakOneIn = 3

func (f *faultInjector) failLink(p *proxy, r *rand.Rand) {
	p.setFault(pick(r, linkFaults))
	f.undoLater(r, func() { p.setFault(LinkHealthy) })
	// Drawn last, so that the faults of earlier seeds stay the same in all else.
	if r.IntN(breakOneIn) == 0 {
		f.logf("broken responses")
		p.setFault(LinkBroken)
	}
}

func (f *faultInjector) failCallerLink(r *rand.Rand) {
	in := f.randomEntry(r)
	end := f.beginFault(in)
	in.callerLink.setFault(pick(r, linkFaults))
	f.undoLater(r, func() {
		in.callerLink.setFault(LinkHealthy)
		end()
	})
}
