package engineagent

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/placement"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// nextOrder decides on the next order, if any.
func (a *Agent) nextOrder() (fleet.Order, bool) {
	now := time.Now()
	spec := a.engineSpec()
	a.mu.Lock()
	defer a.mu.Unlock()
	if spec == nil || a.fence == 0 || a.report.Draining {
		return fleet.Order{}, false
	}
	o := fleet.Order{ExpectedSequence: a.report.Sequence, Holder: a.Name, Fence: a.fence, Instance: a.id}
	// While an order for a model is carried out the engine refuses all others.
	if a.report.Busy || now.Before(a.pauseUntil) {
		return o, false
	}
	if a.adapterOrder(&o, spec, now) {
		return o, true
	}
	in := placement.Input{
		Now: now, Engine: spec, Holdings: &a.report.Holdings, Use: make(map[string]placement.Use),
		Wants:        a.wants.list(now, func(name string) bool { return !strings.Contains(name, "/") }),
		StoreAllowed: a.store.allowed(now, spec.LoadsPerSecond, a.sharing),
	}
	if len(in.Wants) == 0 {
		return o, false
	}
	for name := range a.report.Holdings.Adapters {
		in.Use[name] = a.demand.use(name, now)
	}
	next := placement.Next(in)
	o.Model = next.Model
	switch next.Kind {
	case placement.None:
		return o, false
	case placement.Unload:
		o.Kind = fleet.OrderUnload
	case placement.Load:
		o.Kind = fleet.OrderLoad
		a.loadedBy = now.Add(duration(spec.Models[o.Model], &a.report.Holdings))
		if next.FromStore {
			a.store.add(now)
			a.storeLoad.begin(now, spec.Models[o.Model].StoreLoadTime)
		}
	}
	a.Logger.Info("order decided", zap.String("model", o.Model), zap.Bool("unload", o.Kind == fleet.OrderUnload),
		zap.Bool("from_store", next.FromStore), zap.String("reason", next.Reason), zap.Int64("sequence", o.ExpectedSequence))
	return o, true
}

// adapterOrder fills o with an order for an adapter that is asked for.
func (a *Agent) adapterOrder(o *fleet.Order, spec *fleet.Engine, now time.Time) bool {
	h := &a.report.Holdings
	held := len(a.report.PendingAdapters)
	for _, adapters := range h.Adapters {
		held += len(adapters)
	}
	for _, w := range a.wants.list(now, func(name string) bool { return strings.Contains(name, "/") }) {
		model, adapter, _ := strings.Cut(w.Model, "/")
		if !h.HasModel(model) || h.HasAdapter(model, adapter) || slices.Contains(a.report.PendingAdapters, w.Model) ||
			len(a.report.PendingAdapters) >= adaptersInTransit || model == a.loading {
			continue
		}
		o.Model, o.Adapter = model, adapter
		if held < spec.MaxAdapters && placement.Free(spec, h) >= spec.Models[model].AdapterMB*float64(1+len(a.report.PendingAdapters)) {
			o.Kind = fleet.OrderLoad
			return true
		}
		if a.idleAdapter(o, now) {
			o.Kind = fleet.OrderUnload
			return true
		}
	}
	return false
}

// idleAdapter chooses the adapter that is missed least.
func (a *Agent) idleAdapter(o *fleet.Order, now time.Time) bool {
	var found bool
	var least placement.Use
	for model, adapters := range a.report.Holdings.Adapters {
		for _, ad := range adapters {
			name := model + "/" + ad
			u := a.demand.use(name, now)
			if u.InFlight > 0 || a.wants[name] != nil {
				continue
			}
			if !found || u.Asked < least.Asked || u.Asked == least.Asked && u.LastUsed.Before(least.LastUsed) {
				found, least = true, u
				o.Model, o.Adapter = model, ad
			}
		}
	}
	return found
}

// order gives an order and reports whether another may follow at once.
func (a *Agent) order(ctx context.Context, o fleet.Order) bool {
	result, err := a.Engine.Order(ctx, o)
	fields := []zap.Field{
		zap.String("model", o.Model), zap.String("adapter", o.Adapter), zap.Bool("unload", o.Kind == fleet.OrderUnload),
		zap.Int64("expected", o.ExpectedSequence), zap.Stringer("result", result),
	}
	if err != nil {
		a.Logger.Warn("order not answered", append(fields, telemetry.Err(err))...)
		a.unanswered(o)
		return false
	}
	a.Logger.Info("order answered", fields...)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch result {
	case fleet.OrderAccepted:
		a.report.Sequence++
		a.accepted(o)
		return true
	case fleet.OrderMisdirected:
		a.id = ""
		a.pauseUntil = time.Now().Add(refusedPause)
	case fleet.OrderAlreadyApplied:
		// An unload of an adapter takes effect at once with this answer.
		if o.Adapter != "" && o.Kind == fleet.OrderUnload {
			a.report.Sequence++
			a.dropAdapter(o.Model, o.Adapter)
			return true
		}
	default:
		a.pauseUntil = time.Now().Add(refusedPause)
	}
	return false
}

// unanswered notes an order that may have been accepted.
func (a *Agent) unanswered(o fleet.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pauseUntil = time.Now().Add(refusedPause)
	a.unloading.ordered(o)
}

// duration estimates how long a load takes by where the engine has the weights.
func duration(m fleet.Model, h *fleet.Holdings) time.Duration {
	switch {
	case slices.Contains(h.InMemory, m.Name):
		return m.MemoryLoadTime
	case slices.Contains(h.OnDisk, m.Name):
		return m.DiskLoadTime
	default:
		return m.StoreLoadTime
	}
}

// accepted notes what an accepted order changes before the next report.
func (a *Agent) accepted(o fleet.Order) {
	a.acceptedAt = time.Now()
	a.unloading.ordered(o)
	switch {
	case o.Adapter != "" && o.Kind == fleet.OrderLoad:
		a.report.PendingAdapters = append(a.report.PendingAdapters, o.Model+"/"+o.Adapter)
	case o.Adapter != "":
		a.dropAdapter(o.Model, o.Adapter)
	default:
		a.report.Busy = true
		if o.Kind == fleet.OrderLoad {
			a.loading = o.Model
			a.publish()
			return
		}
		// Entry instances must not send requests for a model that is going.
		rest := make(map[string][]string, len(a.report.Holdings.Adapters))
		for name, adapters := range a.report.Holdings.Adapters {
			if name != o.Model {
				rest[name] = adapters
			}
		}
		a.report.Holdings.Adapters = rest
		a.publish()
		a.held = a.version
	}
}

func (a *Agent) dropAdapter(model, adapter string) {
	rest := make(map[string][]string, len(a.report.Holdings.Adapters))
	for name, adapters := range a.report.Holdings.Adapters {
		if name == model {
			adapters = slices.DeleteFunc(slices.Clone(adapters), func(s string) bool { return s == adapter })
		}
		rest[name] = adapters
	}
	a.report.Holdings.Adapters = rest
	a.publish()
	a.held = a.version
}
