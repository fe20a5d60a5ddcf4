package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Times of a series of faults.
const (
	leastPause, mostPause = 100 * time.Millisecond, 700 * time.Millisecond
	leastSpan, mostSpan   = 200 * time.Millisecond, 2500 * time.Millisecond
	// afterHarm is how long an entry instance counts as harmed after a fault: its
	// timeouts and the kernel's repeats.
	afterHarm = 3 * time.Second
	// drainLimit is the grace period and a margin for a busy machine.
	drainLimit = 8 * time.Second
)

// fault is one step of a series.
type fault struct {
	name    string
	planned bool
	play    func(f *faults, r *rand.Rand)
}

// faults plays a series. Faults overlap.
type faults struct {
	w    *world
	wg   sync.WaitGroup
	mu   sync.Mutex
	log  []string
	from time.Time
}

var allFaults = []fault{
	{"entry killed", false, func(f *faults, r *rand.Rand) { f.kill(f.entry(r), r) }},
	{"entry paused", false, func(f *faults, r *rand.Rand) { f.pause(f.entry(r), r) }},
	{"agent killed", false, func(f *faults, r *rand.Rand) { f.kill(f.agent(r), r) }},
	{"agent paused", false, func(f *faults, r *rand.Rand) { f.pause(f.agent(r), r) }},
	{"upstream crash", false, func(f *faults, r *rand.Rand) { f.crash(pick(r, f.w.hosts), r) }},
	{"store down", false, func(f *faults, r *rand.Rand) { f.storeDown(r) }},
	{"link to the store", false, func(f *faults, r *rand.Rand) { f.harm(f.any(r).store, r) }},
	{"link to an upstream", false, func(f *faults, r *rand.Rand) { f.harm(pick(r, f.w.hosts).link, r) }},
	{"link of callers", false, func(f *faults, r *rand.Rand) { f.harmCallers(r) }},
	{"entry stopped", true, func(f *faults, r *rand.Rand) { f.terminate(f.entry(r), r) }},
	{"reload", true, func(f *faults, r *rand.Rand) { f.signal(f.any(r), syscall.SIGHUP) }},
	{"configuration", true, func(f *faults, _ *rand.Rand) { f.w.configure() }},
}

func pick[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func (f *faults) entry(r *rand.Rand) *instance { return pick(r, f.w.entries) }
func (f *faults) agent(r *rand.Rand) *instance { return pick(r, f.w.agents) }
func (f *faults) any(r *rand.Rand) *instance {
	if r.IntN(2) == 0 {
		return f.entry(r)
	}
	return f.agent(r)
}

// run plays a series of the given length and waits until all has been undone.
// planned plays planned work only.
func (f *faults) run(seed uint64, length time.Duration, planned bool) {
	r := rand.New(rand.NewPCG(seed, 1))
	f.from = time.Now()
	for time.Since(f.from) < length {
		next := pick(r, allFaults)
		span := rand.New(rand.NewPCG(r.Uint64(), 2))
		pause := between(r, leastPause, mostPause)
		if !planned || next.planned {
			f.note("%s", next.name)
			next.play(f, span)
		}
		time.Sleep(pause)
	}
	f.wg.Wait()
}

func (f *faults) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, fmt.Sprintf("%6.2f s %s", time.Since(f.from).Seconds(), fmt.Sprintf(format, args...)))
}

// during undoes a fault after a random span.
func (f *faults) during(r *rand.Rand, undo func()) {
	span := between(r, leastSpan, mostSpan)
	f.wg.Go(func() {
		time.Sleep(span)
		undo()
	})
}

// harmed notes that an entry instance is harmed until a function returns.
func (f *faults) harmed(in *instance) (end func()) {
	for i, e := range f.w.entries {
		if e == in {
			from := time.Now()
			// Open until it ends, so that answers meanwhile count as disturbed.
			f.w.ledger.disturb(i, from, from.Add(time.Hour))
			return func() { f.w.ledger.settle(i, from, time.Now().Add(afterHarm)) }
		}
	}
	return func() {}
}

func (f *faults) signal(in *instance, s syscall.Signal) {
	if !in.busy.TryLock() {
		return
	}
	defer in.busy.Unlock()
	if err := in.Signal(s); err != nil {
		f.note("%s: %v", in.Name, err)
	}
}

func (f *faults) kill(in *instance, r *rand.Rand) {
	if !in.busy.TryLock() {
		return
	}
	end := f.harmed(in)
	if err := in.Kill(); err != nil {
		f.note("kill %s: %v", in.Name, err)
	}
	f.during(r, func() { f.restart(in, end) })
}

func (f *faults) restart(in *instance, end func()) {
	defer in.busy.Unlock()
	if err := in.Restart(); err != nil {
		f.note("restart %s: %v", in.Name, err)
	}
	const poll = 50 * time.Millisecond
	for until := time.Now().Add(startTimeout); in.readyAddr != "" && !in.ready() && time.Now().Before(until); {
		time.Sleep(poll)
	}
	end()
}

func (f *faults) pause(in *instance, r *rand.Rand) {
	if !in.busy.TryLock() {
		return
	}
	end := f.harmed(in)
	if err := in.Signal(syscall.SIGSTOP); err != nil {
		f.note("pause %s: %v", in.Name, err)
	}
	f.during(r, func() {
		defer in.busy.Unlock()
		if err := in.Signal(syscall.SIGCONT); err != nil {
			f.note("continue %s: %v", in.Name, err)
		}
		end()
	})
}

// terminate asks an entry instance to stop, and starts it again.
func (f *faults) terminate(in *instance, r *rand.Rand) {
	if !in.busy.TryLock() {
		return
	}
	span := between(r, leastSpan, mostSpan)
	f.wg.Go(func() {
		if err := in.Stop(drainLimit); err != nil {
			f.w.ledger.mu.Lock()
			f.w.ledger.breach("stop", "%v", err)
			f.w.ledger.mu.Unlock()
			in.KillIfRunning()
		}
		time.Sleep(span)
		f.restart(in, func() {})
	})
}

func (f *faults) crash(h *upstreamHost, r *rand.Rand) {
	old := f.w.crashUpstream(h)
	forget := between(r, leastSpan, mostSpan)
	f.during(r, func() {
		if err := f.w.startUpstream(h); err != nil {
			f.note("upstream %d: %v", h.index, err)
		}
	})
	f.wg.Go(func() {
		time.Sleep(forget)
		f.w.forget(old)
	})
}

func (f *faults) storeDown(r *rand.Rand) {
	_ = f.w.store.SetDown(true)
	f.during(r, func() { _ = f.w.store.SetDown(false) })
}

var linkFaults = []LinkFault{LinkDelayed, LinkSilent, LinkCutThere, LinkCutBack, LinkReset}

func (f *faults) harm(p *proxy, r *rand.Rand) {
	p.set(pick(r, linkFaults))
	f.during(r, func() { p.set(LinkHealthy) })
}

func (f *faults) harmCallers(r *rand.Rand) {
	in := f.entry(r)
	end := f.harmed(in)
	in.callers.set(pick(r, linkFaults))
	f.during(r, func() {
		in.callers.set(LinkHealthy)
		end()
	})
}
