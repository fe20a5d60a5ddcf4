// Package entry serves callers' requests on an entry instance. It authenticates
// each request, chooses an upstream, forwards the request to the agent of that
// upstream and sends the response to the caller.
package entry

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/route"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
)

// Fleet is the entry instance's view of the fleet.
type Fleet interface {
	View() *controlstate.View
	// Refusal returns the reason why this instance must not take new work, or ""
	// when it may.
	Refusal() errkind.Kind
}

// Dispatcher sends an attempt request to the agent at addr.
type Dispatcher interface {
	Run(ctx context.Context, addr string, r dispatch.AttemptRequest, sink dispatch.Sink) (dispatch.End, error)
}

// Deps are the dependencies of an Entry.
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

// Entry handles the HTTP requests of callers.
type Entry struct {
	Deps
	stats stats
}

// New returns an Entry. Register adds its handlers to a server.
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
