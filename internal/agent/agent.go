// Package agent runs requests on one upstream. An agent process runs next to each
// upstream, and no other process sends requests to that upstream or makes it load
// or unload models. An upstream is either an engine, which serves models, or a
// plain service, which does not.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/route"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/admit"
	"github.com/jacinthbend/jacinthbend/internal/atmostonce/attempt"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Residency makes checkpoints available in the engine.
type Residency interface {
	// Acquire waits until the checkpoint is loaded and pins it until release is
	// called. Every error means that the request has not run.
	Acquire(ctx context.Context, checkpoint, team string, deadline time.Time) (release func(), err error)
	// Refresh reads from the engine which checkpoints it has loaded.
	Refresh(ctx context.Context) error
}

// Upstream is the client of the upstream.
type Upstream interface {
	Do(ctx context.Context, r engine.Request) (engine.Response, error)
	Stream(ctx context.Context, r engine.Request, onData func([]byte) error) error
}

// Fleet is the agent's view of the fleet.
type Fleet interface {
	View() *controlstate.View
}

// Incarnation holds the state of one incarnation of the agent. The agent gets a
// new incarnation whenever it joins the fleet.
type Incarnation struct {
	Self      record.InstanceRef
	Limiter   *admit.Limiter
	Residency Residency
	Attempts  *attempt.Table
	// Tracker and Reporter detect and report requests that crash the engine.
	Tracker  *poison.Tracker
	Reporter *poison.Reporter
	// Context is cancelled when the incarnation ends.
	Context context.Context
}

// Deps are the dependencies of an Agent.
type Deps struct {
	Fleet Fleet
	// Current returns the current incarnation, or nil if the agent has not joined
	// the fleet.
	Current   func() *Incarnation
	Upstream  Upstream
	Lifecycle *lifecycle.Machine
	Logger    *zap.Logger
	Metrics   *metrics.Set
}

// Agent runs attempts on its upstream.
type Agent struct {
	Deps
	// running maps the id of each running attempt to its context.CancelFunc.
	running  sync.Map
	attempts *metrics.Counter
	seconds  *metrics.Histogram
}

// New returns an Agent. Register adds its handlers to a server.
func New(d Deps) *Agent {
	return &Agent{
		Deps:     d,
		attempts: d.Metrics.NewCounter("jacinthbend_agent_attempts_total"),
		seconds:  d.Metrics.NewHistogram("jacinthbend_agent_attempt_duration_seconds"),
	}
}

// Register adds the agent's handlers for other instances to r.
func (a *Agent) Register(r *route.Engine) {
	r.POST(dispatch.PathRun, a.serveAttempt)
	peer.Handle(r, dispatch.PathCancel, a.cancel)
}

// cancel ends a running attempt. It does not cancel at-most-once calls, because
// their result must be recorded.
func (a *Agent) cancel(_ context.Context, c dispatch.Cancel) (dispatch.CancelResult, error) {
	cancelAttempt, found := a.running.Load(c.Attempt)
	if found {
		cancelAttempt.(context.CancelFunc)()
	}
	return dispatch.CancelResult{Found: found}, nil
}
