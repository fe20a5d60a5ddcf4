package engineagent

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// Register serves the calls of entry instances.
func (a *Agent) Register(r *route.Engine) {
	peer.Handle(r, agentapi.PathState, a.ServeState)
	peer.Handle(r, agentapi.PathEnsure, a.ServeEnsure)
}

// ServeState takes over an entry instance's demand and answers when there is a
// newer state, or after the wait that it asks for.
func (a *Agent) ServeState(ctx context.Context, req agentapi.StateRequest) (agentapi.State, error) {
	a.mu.Lock()
	a.demand.heard(req.From, req.Demand, time.Now())
	a.sharing = sharing{engines: req.Engines, rank: req.Rank}
	changed := a.changed
	fresh := a.version != req.After || a.incarnation != req.Incarnation
	a.mu.Unlock()
	if !fresh && req.WaitMS > 0 {
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

// stateFor leaves out the holdings that the caller has.
func (a *Agent) stateFor(req agentapi.StateRequest) agentapi.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := a.state(time.Now())
	if req.Incarnation == a.incarnation && req.After >= a.held {
		st.Holdings = nil
	}
	return st
}

// ServeEnsure answers when the model, and the adapter if one is named, is
// loaded, or when the wait is over.
func (a *Agent) ServeEnsure(ctx context.Context, req agentapi.EnsureRequest) (agentapi.EnsureResponse, error) {
	names := []string{req.Model}
	if req.Adapter != "" {
		names = append(names, req.Model+"/"+req.Adapter)
	}
	if reason, ok := a.canHold(req.Model); !ok {
		return agentapi.EnsureResponse{Reason: reason}, nil
	}
	if req.Background {
		a.prefetch(req.Model, req.Worth)
		return agentapi.EnsureResponse{Loaded: a.holds(req.Model, req.Adapter)}, nil
	}
	if reason := a.hopeless(req.Model); reason != "" {
		return agentapi.EnsureResponse{Reason: reason}, nil
	}
	a.want(names)
	defer a.unwant(names)
	t := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer t.Stop()
	look := time.NewTicker(ensurePoll)
	defer look.Stop()
	for {
		a.mu.Lock()
		loaded := a.known && a.report.Holdings.HasAdapter(req.Model, req.Adapter)
		changed := a.changed
		a.mu.Unlock()
		if loaded {
			return agentapi.EnsureResponse{Loaded: true}, nil
		}
		if reason := a.hopeless(req.Model); reason != "" {
			return agentapi.EnsureResponse{Reason: reason}, nil
		}
		select {
		case <-changed:
		case <-look.C:
		case <-ctx.Done():
			return agentapi.EnsureResponse{Reason: "the caller went away"}, nil
		case <-t.C:
			return agentapi.EnsureResponse{Reason: "the model was not loaded in time"}, nil
		}
	}
}

func (a *Agent) canHold(model string) (string, bool) {
	spec := a.engineSpec()
	if spec == nil {
		return "the agent knows no configuration", false
	}
	m, ok := spec.Models[model]
	if !ok || m.WeightsMB > spec.WeightsMB {
		return "the engine cannot hold the model", false
	}
	return "", true
}

func (a *Agent) holds(model, adapter string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known && a.report.Holdings.HasAdapter(model, adapter)
}

const (
	// ensurePoll is how often a waiting call looks whether the engine is still there.
	ensurePoll = 100 * time.Millisecond
	// lostGrace is how long an engine may not answer before calls that wait for it
	// end: some lost reports.
	lostGrace = 400 * time.Millisecond
)

// hopeless returns why a call need not wait for a model, or nothing. The engine
// may have crashed, or has the model only in the weight store, and no load from
// there is under way or decided. Requests do not start such loads: they take
// longer than most callers wait, and the engine takes no other order meanwhile.
func (a *Agent) hopeless(model string) string {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known {
		if now.Sub(a.lostAt) > lostGrace {
			return "the engine does not answer"
		}
		return ""
	}
	h := &a.report.Holdings
	if h.HasModel(model) || slices.Contains(h.InMemory, model) || slices.Contains(h.OnDisk, model) || a.loading == model ||
		a.wants[model] != nil && now.Before(a.wants[model].prefetchUntil) {
		return ""
	}
	return "the engine does not have the model at hand"
}

func (a *Agent) prefetch(model string, worth float64) {
	a.mu.Lock()
	a.wants.prefetch(model, worth, time.Now())
	a.mu.Unlock()
	a.wakeUp()
}

func (a *Agent) want(names []string) {
	now := time.Now()
	a.mu.Lock()
	for _, n := range names {
		a.wants.add(n, now)
		if model, _, isAdapter := strings.Cut(n, "/"); !isAdapter {
			// A request is on its way to the model, so it must not be displaced.
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

func (a *Agent) unwant(names []string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range names {
		a.wants.done(n, now)
	}
}

// State returns the state for entry instances. The caller holds no lock.
func (a *Agent) State() agentapi.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state(time.Now())
}

func (a *Agent) state(now time.Time) agentapi.State {
	st := agentapi.State{Incarnation: a.incarnation, Version: a.version, Known: a.known}
	if !a.known {
		return st
	}
	h := a.report.Holdings
	st.Born, st.Holdings, st.Loading = a.report.StartedAtMS, &h, a.loading
	if a.loading != "" {
		st.LoadingLeftMS = max(0, a.loadedBy.Sub(now).Milliseconds())
		st.StoreLoad = !a.storeLoad.begun.IsZero()
		if st.LoadingLeftMS == 0 {
			st.LoadingLeftMS = a.storeLoad.left(now).Milliseconds()
		}
	}
	st.StoreSlowdown = a.storeLoad.slowdown
	st.Queued, st.Running, st.Draining = a.report.Queued, a.report.Running, a.report.Draining
	for _, w := range a.wants.list(now, func(name string) bool { return !strings.Contains(name, "/") && !h.HasModel(name) }) {
		st.Wanted = append(st.Wanted, w.Model)
	}
	return st
}
