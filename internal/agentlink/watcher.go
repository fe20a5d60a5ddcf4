package agentlink

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// Timing of the states of agents.
const (
	// stateWait is how long an agent may hold a call without news; the call also
	// carries this instance's demand.
	stateWait = 450 * time.Millisecond
	// stateMargin is added to that before the agent's machine counts as silent. A
	// machine that stands still takes the engine on it along.
	stateMargin = 350 * time.Millisecond
	// statePause bounds the rate of news of one agent; a load from memory takes
	// 400 ms.
	statePause = 100 * time.Millisecond
	// agentsAtFullRate are followed at these rates. With more, all intervals grow
	// with their number up to slowest, so that an instance's calls do not.
	agentsAtFullRate = 18
	slowest          = 3.0
	// lostPause is the time between two tries of an agent that does not answer.
	lostPause = 300 * time.Millisecond
	// syncPause is how often the list of agents is compared.
	syncPause = 250 * time.Millisecond
)

// Watcher follows the states of all agents.
type Watcher struct {
	self   string
	client *Client
	pool   *upstream.Pool
	// engines returns how many engines share the weight store with an upstream,
	// and its place among them.
	engines func(upstreamID string) (n, rank int)
	logger  *zap.Logger

	running map[upstream.Agent]context.CancelFunc
}

// NewWatcher returns a watcher that tells pool what it hears.
func NewWatcher(self string, c *Client, pool *upstream.Pool, engines func(string) (n, rank int), logger *zap.Logger) *Watcher {
	return &Watcher{self: self, client: c, pool: pool, engines: engines, logger: logger, running: make(map[upstream.Agent]context.CancelFunc)}
}

// Run follows agents until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	t := time.NewTicker(syncPause)
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
	wanted := make(map[upstream.Agent]bool)
	for _, a := range w.pool.Agents() {
		wanted[a] = true
		if _, ok := w.running[a]; ok {
			continue
		}
		follow, cancel := context.WithCancel(ctx)
		w.running[a] = cancel
		go w.follow(follow, a)
	}
	for a, cancel := range w.running {
		if !wanted[a] {
			cancel()
			delete(w.running, a)
		}
	}
}

// slower is the factor by which intervals grow with the number of agents.
func slower(agents int) float64 {
	return min(slowest, max(1, float64(agents)/agentsAtFullRate))
}

func (w *Watcher) follow(ctx context.Context, a upstream.Agent) {
	var last agentapi.State
	lost := false
	for ctx.Err() == nil {
		start := time.Now()
		engines, rank := w.engines(a.UpstreamID)
		factor := slower(engines)
		wait := time.Duration(factor * float64(stateWait))
		st, err := w.client.state(ctx, a.Addr, agentapi.StateRequest{
			From: w.self, Incarnation: last.Incarnation, After: last.Version, WaitMS: int(wait.Milliseconds()),
			Engines: engines, Rank: rank, Demand: w.pool.Demand(a.UpstreamID),
		})
		if ctx.Err() != nil {
			return
		}
		pause := time.Duration(factor * float64(statePause))
		if err != nil {
			if !lost {
				w.logger.Warn("agent lost", zap.String("upstream", a.UpstreamID), zap.String("addr", a.Addr), telemetry.Err(err))
			}
			last, pause = agentapi.State{}, lostPause
			// A call that fails at once was refused by the machine, so the engine on it
			// may be well; one that runs into its bound was not heard.
			w.pool.AgentLost(a.UpstreamID, time.Since(start) >= wait)
		} else {
			if lost {
				w.logger.Info("agent regained", zap.String("upstream", a.UpstreamID), zap.String("addr", a.Addr))
			}
			if st.Holdings == nil && st.Incarnation == last.Incarnation && st.StartedAtMS == last.StartedAtMS {
				st.Holdings = last.Holdings
			}
			last = *st
			w.pool.Heard(a.UpstreamID, st)
		}
		lost = err != nil
		select {
		case <-ctx.Done():
		case <-time.After(pause - time.Since(start)):
		}
	}
}
