package agentrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/promptcache"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

const (
	// interestTTL is how long a slice is watched after the last call for it. A reader
	// calls about once a second.
	interestTTL = 4 * time.Second
	// reportTTL is how long the demand of a caller counts after its last call.
	reportTTL = 3 * time.Second
	// maxWait bounds the wait of a call.
	maxWait = 2 * time.Second
)

// sliceKey is a slice under one division of the agents. Instances whose views differ may
// use different divisions for a moment.
type sliceKey struct{ slice, slices int }

// Relay holds the states of the agents that this instance watches for others, and what
// these request. It is safe for concurrent use. It must not call the pool while it is
// locked, since the pool calls it while the pool is locked.
type Relay struct {
	pool        *upstream.Pool
	incarnation int64

	mu      sync.Mutex
	version uint64
	// changed is closed when version increases.
	changed  chan struct{}
	interest map[sliceKey]time.Time
	agents   map[string]*watchedAgent
	reports  map[string]*report
}

// watchedAgent is an agent's last state.
type watchedAgent struct {
	state       *agentapi.State
	at          time.Time
	confirmedAt time.Time
	timedOut    bool
	// version and holdingsVersion are the relay's versions at the last change of the
	// state and of the holdings.
	version, holdingsVersion uint64
	// cached has the last reports of what the engine has cached, oldest first.
	cached []cachedParts
}

// cachedParts are the prompt parts that an engine has cached as of a version of the relay.
type cachedParts struct {
	version uint64
	parts   *promptcache.Parts
}

// maxCachedReports is how many reports are kept, to tell callers what changed. An agent makes
// one in 0.5 to 2.5 s, and a caller calls about once a second.
const maxCachedReports = 4

// report is what one entry instance requests.
type report struct {
	at     time.Time
	demand map[string]agentapi.ModelDemand
	// usage is by upstream and by model or adapter.
	usage map[string]map[string]agentapi.Usage
}

// NewRelay returns a relay that watches nothing.
func NewRelay(pool *upstream.Pool) *Relay {
	return &Relay{
		pool: pool, incarnation: time.Now().UnixNano(), changed: make(chan struct{}),
		interest: make(map[sliceKey]time.Time), agents: make(map[string]*watchedAgent), reports: make(map[string]*report),
	}
}

// Register adds the handler for the calls of other entry instances to r.
func (r *Relay) Register(e *route.Engine) {
	peer.Handle(e, pathStates, func(ctx context.Context, req statesRequest) (statesResponse, error) {
		return r.serve(ctx, req), nil
	})
}

// Watched returns those of agents for which a call has asked lately.
func (r *Relay) Watched(agents []upstream.Agent) []upstream.Agent {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, at := range r.interest {
		if now.Sub(at) > interestTTL {
			delete(r.interest, key)
		}
	}
	var out []upstream.Agent
	for _, a := range agents {
		for key := range r.interest {
			if SliceOf(a.UpstreamID, key.slices) == key.slice {
				out = append(out, a)
				break
			}
		}
	}
	return out
}

// UpdateAgentState records the report of a watched agent.
func (r *Relay) UpdateAgentState(upstreamID string, st *agentapi.State, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agent(upstreamID)
	old := a.state
	a.confirmedAt = at
	if old != nil && old.Incarnation == st.Incarnation && old.Version == st.Version {
		return
	}
	a.state, a.at, a.timedOut = st, at, false
	r.publish(a)
	if old == nil || old.Holdings != st.Holdings {
		a.holdingsVersion = a.version
	}
	if n := len(a.cached); n == 0 || a.cached[n-1].parts != st.Cached {
		a.cached = append(a.cached[max(0, n+1-maxCachedReports):], cachedParts{a.version, st.Cached})
	}
}

// AgentUnreachable records that a watched agent does not answer.
func (r *Relay) AgentUnreachable(upstreamID string, timedOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agent(upstreamID)
	if a.state == nil && a.timedOut == timedOut && a.version > 0 {
		return
	}
	a.state, a.at, a.timedOut, a.cached = nil, time.Now(), timedOut, nil
	r.publish(a)
}

func (r *Relay) agent(upstreamID string) *watchedAgent {
	a, ok := r.agents[upstreamID]
	if !ok {
		a = &watchedAgent{}
		r.agents[upstreamID] = a
	}
	return a
}

// publish marks a as changed and wakes the waiting calls.
func (r *Relay) publish(a *watchedAgent) {
	r.version++
	a.version = r.version
	close(r.changed)
	r.changed = make(chan struct{})
}

// Forget drops the states of the agents that are no longer watched.
func (r *Relay) Forget(watched func(upstreamID string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.agents {
		if !watched(id) {
			delete(r.agents, id)
		}
	}
}

// serve answers a call once a state of the slice is newer than what the caller has, or
// after the wait time.
func (r *Relay) serve(ctx context.Context, req statesRequest) statesResponse {
	key := sliceKey{req.Slice, req.Slices}
	if req.Slices <= 0 || req.Slice < 0 || req.Slice >= req.Slices {
		return statesResponse{}
	}
	r.record(key, req)
	wait := min(maxWait, time.Duration(req.WaitMS)*time.Millisecond)
	t := time.NewTimer(max(wait, time.Nanosecond))
	defer t.Stop()
	for {
		resp, changed := r.collect(key, req)
		if len(resp.States) > 0 || wait <= 0 {
			return resp
		}
		select {
		case <-ctx.Done():
			return resp
		case <-t.C:
			return resp
		case <-changed:
		}
	}
}

// record notes the caller's interest in the slice and its report.
func (r *Relay) record(key sliceKey, req statesRequest) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interest[key] = now
	rep, ok := r.reports[req.From]
	if !ok {
		rep = &report{usage: make(map[string]map[string]agentapi.Usage)}
		r.reports[req.From] = rep
	}
	rep.at = now
	if req.HasDemand {
		rep.demand = req.Demand
	}
	for id := range rep.usage {
		if _, ok := req.Usage[id]; !ok && SliceOf(id, key.slices) == key.slice {
			delete(rep.usage, id)
		}
	}
	for id, usage := range req.Usage {
		// Requests that were sent stay counted until the agent's next call.
		for name, u := range rep.usage[id] {
			if u.Sent > 0 {
				n := usage[name]
				n.Sent += u.Sent
				usage[name] = n
			}
		}
		rep.usage[id] = usage
	}
}

// collect returns what changed in the slice, and the channel that is closed at the next
// change.
func (r *Relay) collect(key sliceKey, req statesRequest) (statesResponse, <-chan struct{}) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	resp := statesResponse{Incarnation: r.incarnation, Version: r.version}
	after := req.After
	if req.Incarnation != r.incarnation {
		after = 0
	}
	for id, a := range r.agents {
		if SliceOf(id, key.slices) != key.slice {
			continue
		}
		if a.state != nil {
			resp.ConfirmedMS = max(resp.ConfirmedMS, now.Sub(a.confirmedAt).Milliseconds())
		}
		if a.version <= after {
			continue
		}
		if resp.States == nil {
			resp.States = make(map[string]*agentState)
		}
		resp.States[id] = a.encode(after, now)
	}
	return resp, r.changed
}

func (a *watchedAgent) encode(after uint64, now time.Time) *agentState {
	out := &agentState{AgeMS: now.Sub(a.at).Milliseconds(), TimedOut: a.timedOut}
	if a.state != nil {
		st := *a.state
		// What the agent sent are the changes to what this instance had.
		st.PromptParts = st.Cached.ReportSince(a.cachedAsOf(after))
		if a.holdingsVersion <= after {
			st.Holdings = nil
		}
		out.State = &st
	}
	return out
}

// cachedAsOf returns the parts that a caller with the version has, nil if that is not known.
func (a *watchedAgent) cachedAsOf(version uint64) *promptcache.Parts {
	for _, c := range slices.Backward(a.cached) {
		if c.version <= version {
			return c.parts
		}
	}
	return nil
}

// Requested implements upstream.UsageSource for all callers together.
func (r *Relay) Requested(name string, now time.Time) float64 {
	return r.sum(name, now).Requests
}

func (r *Relay) sum(name string, now time.Time) agentapi.ModelDemand {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out agentapi.ModelDemand
	for from, rep := range r.reports {
		if now.Sub(rep.at) > reportTTL {
			delete(r.reports, from)
			continue
		}
		d := rep.demand[name]
		out.Requests += d.Requests
		out.PrefillMS += d.PrefillMS
	}
	return out
}

// TakeUsage implements upstream.UsageSource for all callers together.
func (r *Relay) TakeUsage(upstreamID, name string) agentapi.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out agentapi.Usage
	for _, rep := range r.reports {
		u, ok := rep.usage[upstreamID][name]
		if !ok {
			continue
		}
		out.Sent += u.Sent
		out.InFlight += u.InFlight
		u.Sent = 0
		rep.usage[upstreamID][name] = u
	}
	return out
}

// Demand returns the demand of all callers for what an upstream holds, for its agent.
func (r *Relay) Demand(upstreamID string) []agentapi.Demand {
	return r.pool.DemandFrom(upstreamID, r)
}
