// Package entry is the role of the instance that takes callers' requests: it
// authenticates, finds the upstream, forwards and answers.
package entry

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/route"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// Fleet is the entry instance's view of the fleet.
type Fleet interface {
	View() *fold.View
	// Refusal returns why this instance may not take work now, or "".
	Refusal() errkind.Kind
}

// Dispatcher sends an order to the agent at addr.
type Dispatcher interface {
	Run(ctx context.Context, addr string, o work.AttemptRequest, sink work.Sink) (work.End, error)
}

// Deps are the parts that an Entry works with.
type Deps struct {
	Fleet      Fleet
	Dispatcher Dispatcher
	Budget     Budget
	Queue      Queue
	Router     Router
	Once       Once
	Guard      CrashGuard
	Lifecycle  *lifecycle.Machine
	DataCentre string
	Logger     *zap.Logger
	Metrics    *metrics.Set
}

// Entry serves callers.
type Entry struct {
	Deps
	stats stats
}

// New returns an entry instance.
func New(d Deps) *Entry {
	return &Entry{Deps: d, stats: newStats(d.Metrics)}
}

// Register adds the callers' handlers to r.
func (e *Entry) Register(r *route.Engine) {
	r.Use(e.checkHeaders)
	r.POST("/v1/completions", e.serveCompletion)
	r.POST("/v1/chat/completions", e.serveCompletion)
	r.GET("/v1/models", e.serveModels)
	r.GET("/v1/requests/:key", e.serveRequestStatus)
	r.Any(servicePrefix+"*path", e.serveService)
	r.NoRoute(e.noRoute)
	r.NoMethod(e.noMethod)
}
