package engineagent

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/modelplacement"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// Register adds the handlers for calls from entry instances to r.
func (a *Agent) Register(r *route.Engine) {
	peer.Handle(r, agentapi.PathState, a.ServeState)
	peer.Handle(r, agentapi.PathEnsure, a.ServeEnsure)
	peer.Handle(r, agentapi.PathPermit, a.ServePermit)
}

// ServeState records an entry instance's demand. It responds once the state is
// newer than the one that the caller has, or after the wait time in req.
func (a *Agent) ServeState(ctx context.Context, req agentapi.StateRequest) (agentapi.State, error) {
	if a.OnCaller != nil && req.FromAddr != "" {
		a.OnCaller(req.FromAddr, req.FromDataCentre)
	}
	a.mu.Lock()
	a.demand.update(req.From, req.Demand, time.Now())
	a.storeShare = storeShare{engines: req.Engines, rank: req.Rank}
	if req.Watched > 0 {
		a.watched = req.Watched
	}
	changed := a.changed
	newer := a.announcedVersion > req.After || a.version < req.After || a.incarnation != req.Incarnation
	a.mu.Unlock()
	if !newer && req.WaitMS > 0 {
		t := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
	}
	return a.stateFor(req), nil
}

// stateFor returns the state without the holdings if the caller already has
// them, and with the changes of the prompt parts that it does not have.
func (a *Agent) stateFor(req agentapi.StateRequest) agentapi.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := a.state(time.Now())
	after := req.After
	if req.Incarnation != a.incarnation {
		after = 0
	}
	if after > 0 && after >= a.holdingsVersion {
		st.Holdings = nil
	}
	st.PromptParts = a.promptParts.Report(after)
	return st
}

// ServeEnsure requests the model, and the adapter if one is named. It responds
// once they are loaded, once it is clear that they cannot be loaded soon, or after
// the wait time in req. Background requests get a response at once.
func (a *Agent) ServeEnsure(ctx context.Context, req agentapi.EnsureRequest) (agentapi.EnsureResponse, error) {
	names := []string{req.Model}
	if req.Adapter != "" {
		names = append(names, req.Model+"/"+req.Adapter)
	}
	if reason, ok := a.canHold(req.Model); !ok {
		return agentapi.EnsureResponse{Reason: reason}, nil
	}
	if req.Background {
		if reason := a.declinesStoreLoad(req); reason != "" {
			return agentapi.EnsureResponse{Reason: reason}, nil
		}
		a.addBackground(req.Model, req.ExpectedDemand)
		return agentapi.EnsureResponse{Loaded: a.isLoaded(req.Model, req.Adapter)}, nil
	}
	if reason := a.unavailableReason(req.Model); reason != "" {
		return agentapi.EnsureResponse{Reason: reason}, nil
	}
	a.addRequests(names)
	defer a.releaseRequests(names)
	t := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer t.Stop()
	poll := time.NewTicker(ensurePollInterval)
	defer poll.Stop()
	for {
		a.mu.Lock()
		loaded := a.reachable && a.report.Holdings.HasAdapter(req.Model, req.Adapter)
		changed := a.changed
		a.mu.Unlock()
		if loaded {
			return agentapi.EnsureResponse{Loaded: true}, nil
		}
		if reason := a.unavailableReason(req.Model); reason != "" {
			return agentapi.EnsureResponse{Reason: reason}, nil
		}
		select {
		case <-changed:
		case <-poll.C:
		case <-ctx.Done():
			return agentapi.EnsureResponse{Reason: "caller disconnected"}, nil
		case <-t.C:
			return agentapi.EnsureResponse{Reason: "model was not loaded within the wait time"}, nil
		}
	}
}

func (a *Agent) canHold(model string) (string, bool) {
	spec := a.engineSpec()
	if spec == nil {
		return "agent has no configuration for its engine", false
	}
	m, ok := spec.Models[model]
	if !ok || m.WeightsMB > spec.MemoryMB {
		return "model is not configured or does not fit on the engine", false
	}
	return "", true
}

func (a *Agent) isLoaded(model, adapter string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reachable && a.report.Holdings.HasAdapter(model, adapter)
}

const (
	// ensurePollInterval is how often a waiting call checks whether the engine is
	// still reachable.
	ensurePollInterval = 100 * time.Millisecond
	// unreachableGrace is how long the engine may be unreachable before ensure
	// calls fail. It covers several failed report reads.
	unreachableGrace = 400 * time.Millisecond
)

// unavailableReason returns why an ensure call should not wait for the model, or
// "" if it should. It should not wait if the engine is unreachable, or if the
// model is only in the weight store and no load from there is running or
// requested. Such loads are started by background requests only: they take longer
// than most callers wait, and the engine accepts no other order meanwhile.
func (a *Agent) unavailableReason(model string) string {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.reachable {
		if now.Sub(a.unreachableSince) > unreachableGrace {
			return "engine is unreachable"
		}
		return ""
	}
	h := &a.report.Holdings
	if h.HasModel(model) || slices.Contains(h.InMemory, model) || slices.Contains(h.OnDisk, model) || a.loading == model ||
		a.requests[model] != nil && now.Before(a.requests[model].backgroundUntil) {
		return ""
	}
	return "model must be loaded from the weight store"
}

func (a *Agent) addBackground(model string, expectedDemand float64) {
	a.mu.Lock()
	a.requests.addBackground(model, expectedDemand, time.Now())
	a.mu.Unlock()
	a.wakeUp()
}

func (a *Agent) addRequests(names []string) {
	now := time.Now()
	a.mu.Lock()
	for _, name := range names {
		a.requests.add(name, now)
		if model, _, isAdapter := strings.Cut(name, "/"); !isAdapter {
			// A request for the model is about to arrive, so the model must not be
			// unloaded.
			a.demand.lastUsed[model] = now
		}
	}
	a.mu.Unlock()
	a.wakeUp()
}

func (a *Agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Agent) releaseRequests(names []string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range names {
		a.requests.release(name, now)
	}
}

// State returns the state reported to entry instances. The caller must not hold
// the lock.
func (a *Agent) State() agentapi.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state(time.Now())
}

func (a *Agent) state(now time.Time) agentapi.State {
	st := agentapi.State{Incarnation: a.incarnation, Version: a.version, Reachable: a.reachable}
	if !a.reachable {
		return st
	}
	h := a.report.Holdings
	st.StartedAtMS, st.Holdings, st.Loading = a.report.StartedAtMS, &h, a.loading
	if a.loading != "" {
		st.LoadRemainingMS = max(0, a.loadETA.Sub(now).Milliseconds())
		st.LoadingFromStore = !a.storeLoad.startedAt.IsZero()
		if st.LoadRemainingMS == 0 {
			st.LoadRemainingMS = a.storeLoad.remaining(now).Milliseconds()
		}
	}
	st.StoreSlowdown = a.storeLoad.slowdown
	st.Queued, st.Running, st.Draining, st.RateLimit = a.report.Queued, a.report.Running, a.report.Draining, a.report.RateLimit
	queue := a.requests.list(now, func(name string) bool { return !strings.Contains(name, "/") && !h.HasModel(name) && name != a.loading })
	modelplacement.SortRequests(queue)
	for _, req := range queue {
		st.LoadQueue = append(st.LoadQueue, req.Model)
		if req.Waiting > 0 {
			st.WaitingLoads++
		}
	}
	return st
}
