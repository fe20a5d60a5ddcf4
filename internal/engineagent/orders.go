package engineagent

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/modelplacement"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// nextOrder returns the next order to send, if any.
func (a *Agent) nextOrder() (fleet.Order, bool) {
	now := time.Now()
	spec := a.engineSpec()
	a.mu.Lock()
	defer a.mu.Unlock()
	if spec == nil || a.fence == 0 || a.report.Draining {
		return fleet.Order{}, false
	}
	o := fleet.Order{ExpectedSequence: a.report.Sequence, Holder: a.Name, Fence: a.fence, Instance: a.engineID}
	// The engine refuses all orders while it executes an order for a model.
	if a.report.Busy || now.Before(a.backoffUntil) {
		return o, false
	}
	if a.adapterOrder(&o, spec, now) {
		return o, true
	}
	requests := a.requests.list(now, func(name string) bool { return !strings.Contains(name, "/") })
	if len(requests) == 0 {
		return o, false
	}
	next := modelplacement.Next(a.placementInput(spec, requests, now))
	o.Model = next.Model
	switch next.Kind {
	case modelplacement.None:
		return o, false
	case modelplacement.Unload:
		o.Kind = fleet.OrderUnload
	case modelplacement.Load:
		o.Kind = fleet.OrderLoad
		a.loadETA = now.Add(estimateLoadTime(spec.Models[o.Model], &a.report.Holdings))
		if next.FromStore {
			a.storeLimiter.record(now)
			a.storeLoad.start(now, spec.Models[o.Model].StoreLoadTime)
		}
	}
	a.Logger.Info("order decided", zap.String("model", o.Model), zap.Bool("unload", o.Kind == fleet.OrderUnload),
		zap.Bool("from_store", next.FromStore), zap.String("reason", next.Reason), zap.Int64("sequence", o.ExpectedSequence))
	return o, true
}

// placementInput returns what the decision on the next order depends on.
func (a *Agent) placementInput(spec *fleet.Engine, requests []modelplacement.LoadRequest, now time.Time) modelplacement.Input {
	in := modelplacement.Input{
		Now: now, Engine: spec, Holdings: &a.report.Holdings, Usage: make(map[string]modelplacement.Usage),
		LoadRequests: requests, StoreAllowed: a.storeLimiter.allowed(now, spec.LoadsPerSecond, a.storeShare),
	}
	for name := range a.report.Holdings.Adapters {
		in.Usage[name] = a.demand.usage(name, now)
	}
	return in
}

// adapterOrder sets o to an order that loads a requested adapter, or that
// unloads an idle one to make room for it. It reports whether there is one.
func (a *Agent) adapterOrder(o *fleet.Order, spec *fleet.Engine, now time.Time) bool {
	h := &a.report.Holdings
	loaded := len(a.report.PendingAdapters)
	for _, adapters := range h.Adapters {
		loaded += len(adapters)
	}
	for _, req := range a.requests.list(now, func(name string) bool { return strings.Contains(name, "/") }) {
		model, adapter, _ := strings.Cut(req.Model, "/")
		if !h.HasModel(model) || h.HasAdapter(model, adapter) || slices.Contains(a.report.PendingAdapters, req.Model) ||
			len(a.report.PendingAdapters) >= maxPendingAdapters || model == a.loading {
			continue
		}
		o.Model, o.Adapter = model, adapter
		if loaded < spec.MaxAdapters && modelplacement.FreeMemoryMB(spec, h) >= spec.Models[model].AdapterMB*float64(1+len(a.report.PendingAdapters)) {
			o.Kind = fleet.OrderLoad
			return true
		}
		if a.pickIdleAdapter(o, now) {
			o.Kind = fleet.OrderUnload
			return true
		}
	}
	return false
}

// pickIdleAdapter sets o to the least requested adapter that is not in use, and
// reports whether there is one.
func (a *Agent) pickIdleAdapter(o *fleet.Order, now time.Time) bool {
	var found bool
	var least modelplacement.Usage
	for model, adapters := range a.report.Holdings.Adapters {
		for _, adapter := range adapters {
			name := model + "/" + adapter
			u := a.demand.usage(name, now)
			if u.InFlight > 0 || a.requests[name] != nil {
				continue
			}
			if !found || u.Demand < least.Demand || u.Demand == least.Demand && u.LastUsed.Before(least.LastUsed) {
				found, least = true, u
				o.Model, o.Adapter = model, adapter
			}
		}
	}
	return found
}

// sendOrder sends an order and reports whether another one may follow
// immediately.
func (a *Agent) sendOrder(ctx context.Context, o fleet.Order) bool {
	a.mu.Lock()
	a.permits.Add(time.Now())
	a.mu.Unlock()
	result, err := a.Engine.Order(ctx, o)
	fields := []zap.Field{
		zap.String("model", o.Model), zap.String("adapter", o.Adapter), zap.Bool("unload", o.Kind == fleet.OrderUnload),
		zap.Int64("expected", o.ExpectedSequence), zap.Stringer("result", result),
	}
	if err != nil {
		a.Logger.Warn("no response to order", append(fields, telemetry.Err(err))...)
		a.recordUnanswered(o)
		return false
	}
	a.Logger.Info("order answered", fields...)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch result {
	case fleet.OrderAccepted:
		a.report.Sequence++
		a.applyAccepted(o)
		return true
	case fleet.OrderMisdirected:
		a.engineID = ""
		a.backoffUntil = time.Now().Add(orderBackoff)
	case fleet.OrderAlreadyApplied:
		// The engine unloads an adapter before it responds, so the adapter is gone.
		if o.Adapter != "" && o.Kind == fleet.OrderUnload {
			a.report.Sequence++
			a.removeAdapter(o.Model, o.Adapter)
			return true
		}
	default:
		a.backoffUntil = time.Now().Add(orderBackoff)
	}
	return false
}

// recordUnanswered handles an order without a response. The engine may have
// accepted it.
func (a *Agent) recordUnanswered(o fleet.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.backoffUntil = time.Now().Add(orderBackoff)
	a.pendingUnload.record(o)
}

// estimateLoadTime returns the expected load time of m, which depends on where
// the engine has the weights.
func estimateLoadTime(m fleet.Model, h *fleet.Holdings) time.Duration {
	switch {
	case slices.Contains(h.InMemory, m.Name):
		return m.MemoryLoadTime
	case slices.Contains(h.OnDisk, m.Name):
		return m.DiskLoadTime
	default:
		return m.StoreLoadTime
	}
}

// applyAccepted updates the last report with the effects of an accepted order.
// The caller holds the lock.
func (a *Agent) applyAccepted(o fleet.Order) {
	a.acceptedAt = time.Now()
	a.pendingUnload.record(o)
	switch {
	case o.Adapter != "" && o.Kind == fleet.OrderLoad:
		a.report.PendingAdapters = append(a.report.PendingAdapters, o.Model+"/"+o.Adapter)
	case o.Adapter != "":
		a.removeAdapter(o.Model, o.Adapter)
	default:
		a.report.Busy = true
		if o.Kind == fleet.OrderLoad {
			a.loading = o.Model
			a.publish()
			return
		}
		// Entry instances must stop sending requests for a model that is being
		// unloaded.
		remaining := make(map[string][]string, len(a.report.Holdings.Adapters))
		for name, adapters := range a.report.Holdings.Adapters {
			if name != o.Model {
				remaining[name] = adapters
			}
		}
		a.report.Holdings.Adapters = remaining
		a.publish()
		a.holdingsVersion = a.version
	}
}

func (a *Agent) removeAdapter(model, adapter string) {
	remaining := make(map[string][]string, len(a.report.Holdings.Adapters))
	for name, adapters := range a.report.Holdings.Adapters {
		if name == model {
			adapters = slices.DeleteFunc(slices.Clone(adapters), func(s string) bool { return s == adapter })
		}
		remaining[name] = adapters
	}
	a.report.Holdings.Adapters = remaining
	a.publish()
	a.holdingsVersion = a.version
}
