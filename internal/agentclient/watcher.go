package agentclient

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/promptcache"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// Timing of state calls to agents.
const (
	// longPollWait is how long an agent may hold a state call while its state does
	// not change. Each call also reports this instance's demand.
	longPollWait = 450 * time.Millisecond
	// longPollMargin is the time beyond longPollWait after which a call times out. The
	// agent's machine then counts as unresponsive, and so does the engine, because it
	// freezes together with its machine.
	longPollMargin = 350 * time.Millisecond
	// maxTimerDelay is how late the timeout of a call may take effect in a process that
	// runs.
	maxTimerDelay = 300 * time.Millisecond
	// minPollInterval bounds how often one agent can report a new state. A load
	// from memory takes 400 ms.
	minPollInterval = 100 * time.Millisecond
	// agentsAtFullRate is the number of agents up to which these intervals apply.
	// With more agents, all intervals grow in proportion, at most by the factor
	// maxPollSlowdown, so that the call rate of an instance stays the same.
	agentsAtFullRate = 18
	maxPollSlowdown  = 3.0
	// maxRelaySlowdown is the limit for a relay, so that the states that others read
	// from it are recent.
	maxRelaySlowdown = 2.0
	// retryInterval is the delay between two calls to an agent that does not
	// respond.
	retryInterval = 300 * time.Millisecond
	// syncInterval is how often the watcher updates the set of watched agents.
	syncInterval = 250 * time.Millisecond
)

// Watcher follows the states of agents.
type Watcher struct {
	self   fleet.Member
	client *Client
	plan   Plan
	sink   Sink
	// engineRank returns how many engines share the weight store with an upstream,
	// and the rank of the upstream's engine among them.
	engineRank func(upstreamID string) (count, rank int)
	logger     *zap.Logger

	watches map[upstream.Agent]context.CancelFunc
	// watched is the number of watches.
	watched atomic.Int64
}

// Plan tells which agents an instance watches.
type Plan interface {
	Agents() []upstream.Agent
	// Divided reports whether the instance watches a part of the agents, on behalf of
	// others too.
	Divided() bool
}

// Sink takes the states of agents.
type Sink interface {
	// UpdateAgentState takes an agent's report as of at.
	UpdateAgentState(upstreamID string, st *agentapi.State, at time.Time)
	// AgentUnreachable records that a call to an agent failed. timedOut means that its
	// whole machine does not answer.
	AgentUnreachable(upstreamID string, timedOut bool)
	// Demand returns the demand to report to the agent of an upstream.
	Demand(upstreamID string) []agentapi.Demand
}

// NewWatcher returns a watcher that reports the states of the agents in plan to sink.
func NewWatcher(self fleet.Member, c *Client, plan Plan, sink Sink, engineRank func(string) (count, rank int), logger *zap.Logger) *Watcher {
	return &Watcher{self: self, client: c, plan: plan, sink: sink, engineRank: engineRank, logger: logger, watches: make(map[upstream.Agent]context.CancelFunc)}
}

// Run watches agents until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for {
		w.sync(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (w *Watcher) sync(ctx context.Context) {
	current := make(map[upstream.Agent]bool)
	for _, a := range w.plan.Agents() {
		current[a] = true
		if _, ok := w.watches[a]; ok {
			continue
		}
		agentCtx, cancel := context.WithCancel(ctx)
		w.watches[a] = cancel
		go background.Run(agentCtx, w.logger, "watch agent", func(ctx context.Context) { w.watch(ctx, a) })
	}
	for a, cancel := range w.watches {
		if !current[a] {
			cancel()
			delete(w.watches, a)
		}
	}
	w.watched.Store(int64(len(w.watches)))
}

// pollSlowdown returns the factor by which intervals grow with the number of
// agents, at most limit.
func pollSlowdown(agents int, limit float64) float64 {
	return min(limit, max(1, float64(agents)/agentsAtFullRate))
}

func (w *Watcher) watch(ctx context.Context, a upstream.Agent) {
	var last agentapi.State
	unreachable, sentWatched := false, 0
	for ctx.Err() == nil {
		start := time.Now()
		engines, rank := w.engineRank(a.UpstreamID)
		factor := pollSlowdown(engines, maxPollSlowdown)
		addr := ""
		if w.plan.Divided() {
			factor, addr = pollSlowdown(engines, maxRelaySlowdown), w.self.Addr
		}
		watched := int(w.watched.Load())
		if watched == sentWatched && last.Version > 0 {
			watched = 0
		}
		wait := time.Duration(factor * float64(longPollWait))
		st, err := w.client.state(ctx, a.Addr, agentapi.StateRequest{
			From: w.self.Name, FromAddr: addr, FromDataCentre: w.self.DataCentre, Incarnation: last.Incarnation, After: last.Version, WaitMS: int(wait.Milliseconds()),
			Engines: engines, Rank: rank, Watched: watched, Demand: w.sink.Demand(a.UpstreamID),
		})
		if ctx.Err() != nil {
			return
		}
		interval := time.Duration(factor * float64(minPollInterval))
		took := time.Since(start)
		if err != nil && failureOf(took, wait) == stoodStill {
			w.logger.Info("call to agent ended late, this process stood still", zap.String("upstream", a.UpstreamID), zap.Duration("took", took))
			continue
		}
		if err != nil {
			if !unreachable {
				w.logger.Warn("agent unreachable", zap.String("upstream", a.UpstreamID), zap.String("addr", a.Addr), telemetry.Err(err))
			}
			last, interval = agentapi.State{}, retryInterval
			w.sink.AgentUnreachable(a.UpstreamID, failureOf(took, wait) == timedOut)
		} else {
			if unreachable {
				w.logger.Info("agent reachable again", zap.String("upstream", a.UpstreamID), zap.String("addr", a.Addr))
			}
			if st.Holdings == nil && st.Incarnation == last.Incarnation && st.StartedAtMS == last.StartedAtMS {
				st.Holdings = last.Holdings
			}
			if st.Cached, err = cachedParts(&last, st); err != nil {
				w.logger.Warn("report of cached prompt parts ignored", zap.String("upstream", a.UpstreamID), telemetry.Err(err))
				err = nil
			}
			last = *st
			if watched > 0 {
				sentWatched = watched
			}
			w.sink.UpdateAgentState(a.UpstreamID, st, time.Now())
		}
		unreachable = err != nil
		select {
		case <-ctx.Done():
		case <-time.After(interval - time.Since(start)):
		}
	}
}

// cachedParts returns the parts that an engine has cached by its agent's state st, which
// follows last.
func cachedParts(last, st *agentapi.State) (*promptcache.Parts, error) {
	cached := last.Cached
	if st.Incarnation != last.Incarnation {
		cached = nil
	}
	return cached.Apply(st.PromptParts, time.Now())
}
