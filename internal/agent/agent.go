// Package agent is the role of the process beside one upstream. It is the
// only one that gives the upstream orders and work.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/route"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/admit"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/once/attempt"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// Residency makes checkpoints available in the engine.
type Residency interface {
	// Acquire returns when the checkpoint is loaded and pins it until release.
	// The request has not run after any error.
	Acquire(ctx context.Context, checkpoint, team string, deadline time.Time) (release func(), err error)
	// Refresh reads back what the engine holds.
	Refresh(ctx context.Context) error
}

// Upstream runs requests.
type Upstream interface {
	Do(ctx context.Context, r engine.Request) (engine.Response, error)
	Stream(ctx context.Context, r engine.Request, onData func([]byte) error) error
}

// Fleet is the agent's view of the fleet.
type Fleet interface {
	View() *fold.View
}

// Incarnation holds what belongs to one incarnation of the agent.
type Incarnation struct {
	Self      record.HomeRef
	Limiter   *admit.Limiter
	Residency Residency
	Attempts  *attempt.Table
	// Tracker and Reporter watch for requests that crash the engine.
	Tracker  *poison.Tracker
	Reporter *poison.Reporter
	// Life ends with the incarnation.
	Life context.Context
}

// Deps are the parts that an Agent works with.
type Deps struct {
	Fleet Fleet
	// Current returns the present incarnation, nil before the agent has joined.
	Current   func() *Incarnation
	Upstream  Upstream
	Lifecycle *lifecycle.Machine
	Logger    *zap.Logger
	Metrics   *metrics.Set
}

// Agent runs orders at its upstream.
type Agent struct {
	Deps
	// running maps the ids of running attempts to the functions that end them.
	running  sync.Map
	attempts *metrics.Counter
	seconds  *metrics.Histogram
}

// New returns an agent.
func New(d Deps) *Agent {
	return &Agent{
		Deps:     d,
		attempts: d.Metrics.NewCounter("jacinthbend_agent_attempts_total"),
		seconds:  d.Metrics.NewHistogram("jacinthbend_agent_attempt_duration_seconds"),
	}
}

// Register adds the agent's handlers for other instances to r.
func (a *Agent) Register(r *route.Engine) {
	r.POST(work.Path, a.serveWork)
	peer.Handle(r, work.PathCancel, a.cancel)
}

// cancel ends a running attempt. A call that runs at most once goes on, because
// its outcome has to be known.
func (a *Agent) cancel(_ context.Context, c work.Cancel) (work.Cancelled, error) {
	end, found := a.running.Load(c.Attempt)
	if found {
		end.(context.CancelFunc)()
	}
	return work.Cancelled{Found: found}, nil
}
