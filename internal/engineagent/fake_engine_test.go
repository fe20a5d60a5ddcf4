package engineagent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// fakeEngine executes orders in virtual time. It records a violation for an
// order that overcommits memory or adapter slots, or that has an outdated
// fencing token.
type fakeEngine struct {
	mu         sync.Mutex
	spec       *fleet.Engine
	report     fleet.EngineReport
	fence      int64
	violations []string
	orders     int
	loads      []time.Time
	// dropResponses drops the responses to orders. If execDelay is set, orders get
	// no response and are executed after that time.
	dropResponses bool
	execDelay     time.Duration
	// conflicts counts orders refused with OrderConflict (HTTP 409).
	conflicts int
	down      bool
	// unloadDelay is how long an unload waits for running requests to the model.
	unloadDelay time.Duration
	// reportDelay is the age of returned reports. history keeps the reports of
	// that period.
	reportDelay time.Duration
	history     []timedReport
}

type timedReport struct {
	at     time.Time
	report fleet.EngineReport
}

func spec() *fleet.Engine {
	e := &fleet.Engine{MemoryMB: 220, MaxAdapters: 3, LoadsPerSecond: 1.6, Models: make(map[string]fleet.Model)}
	for _, m := range []string{"a", "b", "c", "d", "e"} {
		e.Models[m] = fleet.Model{Name: m, WeightsMB: 70, AdapterMB: 1, StoreLoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond}
	}
	return e
}

func newFakeEngine(loaded ...string) *fakeEngine {
	e := &fakeEngine{spec: spec(), report: fleet.EngineReport{StartedAtMS: 1, Holdings: fleet.Holdings{Adapters: map[string][]string{}, OnDisk: []string{"a", "b", "c", "d"}}}}
	for _, m := range loaded {
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
	for m, adapters := range e.report.Holdings.Adapters {
		r.Holdings.Adapters[m] = append([]string(nil), adapters...)
	}
	r.PendingAdapters = append([]string(nil), e.report.PendingAdapters...)
	if e.reportDelay == 0 {
		return r, nil
	}
	now := time.Now()
	e.history = append(e.history, timedReport{now, r})
	for len(e.history) > 1 && now.Sub(e.history[1].at) >= e.reportDelay {
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
		e.violations = append(e.violations, fmt.Sprintf("fence %d after %d", o.Fence, e.fence))
	}
	e.fence = max(e.fence, o.Fence)
	if e.execDelay > 0 {
		time.AfterFunc(e.execDelay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.accept(o)
		})
		return fleet.OrderUnknown, errors.New("no response")
	}
	r := e.accept(o)
	if r == fleet.OrderConflict {
		e.conflicts++
	}
	if e.dropResponses {
		return fleet.OrderUnknown, errors.New("no response")
	}
	return r, nil
}

// accept checks and executes an order by the platform's rules. The caller
// holds the lock.
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
		time.AfterFunc(50*time.Millisecond+e.unloadDelay, e.finish(func() { delete(h.Adapters, o.Model) }))
		return fleet.OrderAccepted
	}
	used := 0.0
	for m, adapters := range h.Adapters {
		used += e.spec.Models[m].WeightsMB + float64(len(adapters))
	}
	if used+e.spec.Models[o.Model].WeightsMB > e.spec.MemoryMB {
		e.violations = append(e.violations, "memory overcommitted by "+o.Model)
	}
	loadTime := 800 * time.Millisecond
	if o.Model == "e" {
		loadTime = 6 * time.Second
		e.loads = append(e.loads, time.Now())
	}
	time.AfterFunc(loadTime, e.finish(func() { h.Adapters[o.Model] = nil }))
	return fleet.OrderAccepted
}

func (e *fakeEngine) finish(f func()) func() {
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
		var remaining []string
		for _, a := range h.Adapters[o.Model] {
			if a != o.Adapter {
				remaining = append(remaining, a)
			}
		}
		h.Adapters[o.Model] = remaining
		return fleet.OrderAlreadyApplied
	}
	n := len(e.report.PendingAdapters)
	for _, adapters := range h.Adapters {
		n += len(adapters)
	}
	if n >= e.spec.MaxAdapters {
		e.violations = append(e.violations, "too many adapters")
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
