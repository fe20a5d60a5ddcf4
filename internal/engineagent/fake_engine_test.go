package engineagent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// fakeEngine carries out orders in virtual time and judges them: an order that
// would overcommit memory or adapters, or that comes from an older fence, is
// noted as a breach.
type fakeEngine struct {
	mu       sync.Mutex
	spec     *fleet.Engine
	report   fleet.EngineReport
	fence    int64
	breaches []string
	orders   int
	loads    []time.Time
	// lose drops the answers of orders; late carries them out after a time.
	lose bool
	late time.Duration
	// refused counts answers 409.
	refused int
	down    bool
	// runsLast is how long an unload waits for the runs of its model.
	runsLast time.Duration
	// reportLag is the age of the reports; history has those.
	reportLag time.Duration
	history   []agedReport
}

type agedReport struct {
	at     time.Time
	report fleet.EngineReport
}

func spec() *fleet.Engine {
	e := &fleet.Engine{WeightsMB: 220, MaxAdapters: 3, LoadsPerSecond: 1.6, Models: make(map[string]fleet.Model)}
	for _, m := range []string{"a", "b", "c", "d", "e"} {
		e.Models[m] = fleet.Model{Name: m, WeightsMB: 70, AdapterMB: 1, StoreLoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond}
	}
	return e
}

func newFakeEngine(held ...string) *fakeEngine {
	e := &fakeEngine{spec: spec(), report: fleet.EngineReport{StartedAtMS: 1, Holdings: fleet.Holdings{Adapters: map[string][]string{}, OnDisk: []string{"a", "b", "c", "d"}}}}
	for _, m := range held {
		e.report.Holdings.Adapters[m] = nil
	}
	return e
}

func (e *fakeEngine) Report(context.Context) (fleet.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return fleet.EngineReport{}, errors.New("down")
	}
	r := e.report
	r.Holdings.Adapters = make(map[string][]string)
	for m, as := range e.report.Holdings.Adapters {
		r.Holdings.Adapters[m] = append([]string(nil), as...)
	}
	r.PendingAdapters = append([]string(nil), e.report.PendingAdapters...)
	if e.reportLag == 0 {
		return r, nil
	}
	now := time.Now()
	e.history = append(e.history, agedReport{now, r})
	for len(e.history) > 1 && now.Sub(e.history[1].at) >= e.reportLag {
		e.history = e.history[1:]
	}
	return e.history[0].report, nil
}

func (e *fakeEngine) Identify(context.Context, string) (string, error) { return "i-1", nil }

func (e *fakeEngine) Order(_ context.Context, o fleet.Order) (fleet.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if o.Fence < e.fence {
		e.breaches = append(e.breaches, fmt.Sprintf("fence %d after %d", o.Fence, e.fence))
	}
	e.fence = max(e.fence, o.Fence)
	if e.late > 0 {
		time.AfterFunc(e.late, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.accept(o)
		})
		return fleet.OrderUnknown, errors.New("no answer")
	}
	r := e.accept(o)
	if r == fleet.OrderConflict {
		e.refused++
	}
	if e.lose {
		return fleet.OrderUnknown, errors.New("no answer")
	}
	return r, nil
}

// accept carries out an order as the platform says; the caller holds the lock.
func (e *fakeEngine) accept(o fleet.Order) fleet.OrderResult {
	h := &e.report.Holdings
	if e.report.Busy || o.ExpectedSequence != e.report.Sequence {
		return fleet.OrderConflict
	}
	if o.Adapter != "" {
		return e.acceptAdapter(o)
	}
	e.report.Sequence++
	e.report.Busy = true
	if o.Kind == fleet.OrderUnload {
		time.AfterFunc(50*time.Millisecond+e.runsLast, e.done(func() { delete(h.Adapters, o.Model) }))
		return fleet.OrderAccepted
	}
	used := 0.0
	for m, as := range h.Adapters {
		used += e.spec.Models[m].WeightsMB + float64(len(as))
	}
	if used+e.spec.Models[o.Model].WeightsMB > e.spec.WeightsMB {
		e.breaches = append(e.breaches, "memory overcommitted by "+o.Model)
	}
	took := 800 * time.Millisecond
	if o.Model == "e" {
		took = 6 * time.Second
		e.loads = append(e.loads, time.Now())
	}
	time.AfterFunc(took, e.done(func() { h.Adapters[o.Model] = nil }))
	return fleet.OrderAccepted
}

func (e *fakeEngine) done(f func()) func() {
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.report.Busy = false
		f()
	}
}

func (e *fakeEngine) acceptAdapter(o fleet.Order) fleet.OrderResult {
	h := &e.report.Holdings
	e.report.Sequence++
	if o.Kind == fleet.OrderUnload {
		var rest []string
		for _, a := range h.Adapters[o.Model] {
			if a != o.Adapter {
				rest = append(rest, a)
			}
		}
		h.Adapters[o.Model] = rest
		return fleet.OrderAlreadyApplied
	}
	n := len(e.report.PendingAdapters)
	for _, as := range h.Adapters {
		n += len(as)
	}
	if n >= e.spec.MaxAdapters {
		e.breaches = append(e.breaches, "too many adapters")
	}
	e.report.PendingAdapters = append(e.report.PendingAdapters, o.Model+"/"+o.Adapter)
	time.AfterFunc(5*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.report.PendingAdapters = e.report.PendingAdapters[1:]
		h.Adapters[o.Model] = append(h.Adapters[o.Model], o.Adapter)
	})
	return fleet.OrderAccepted
}
