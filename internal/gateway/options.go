package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/quarantine"
	"github.com/jacinthbend/jacinthbend/internal/retrybudget"
	"github.com/jacinthbend/jacinthbend/internal/streamorigin"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/upstreamclient"
)

// Loader asks agents to load models and to admit requests to cold engines.
type Loader interface {
	Ensure(ctx context.Context, agentAddr string, req agentapi.EnsureRequest) (agentapi.EnsureResponse, error)
	// Permit asks whether a request may be sent to an engine now that is cold
	// or names a rate limit.
	Permit(ctx context.Context, agentAddr string, req agentapi.PermitRequest) (agentapi.PermitResponse, error)
}

// RunCounter counts the requests that upstreams began to run.
type RunCounter interface {
	// Ran is called when the first event of a stream or the header of another response arrives.
	Ran(team string)
}

// Options are the dependencies of a gateway.
type Options struct {
	Dialect        Dialect
	Pool           *upstream.Pool
	UpstreamClient *upstreamclient.Client
	Quota          *tokenquota.Limiter
	RetryBudget    *retrybudget.Budget
	// Quarantine has the content that crashes upstreams; nil stands for an empty table.
	Quarantine *quarantine.Table
	Loader     Loader
	// Origins knows which software versions began streams; nil stands for a tracker of this
	// instance alone.
	Origins *streamorigin.Tracker
	// Runs counts the requests that upstreams began to run; it may be nil.
	Runs       RunCounter
	Lifecycle  *lifecycle.Machine
	DataCentre string
	// Buffers bounds the bytes of responses that all requests together buffer; nil stands for
	// defaultMaxBufferedBytes.
	Buffers *clientbudget.Share
	// MaxWaitingBytes limits the bytes of the requests that wait for a team's quota; 0
	// stands for defaultMaxWaitingBytes.
	MaxWaitingBytes int64
	Logger          *zap.Logger
	Stats           *Stats
}

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	Options
	table   currentTable
	waiting *quotaQueue
	// exitAt is when a draining instance exits, in Unix nanoseconds; requests with a
	// later deadline are refused. It is 0 until SetExitTime is called.
	exitAt atomic.Int64
	// exiting is cancelled shortly before a draining instance exits.
	exiting       context.Context
	cancelExiting context.CancelFunc
	// ending is cancelled when the requests that still run must be answered.
	ending       context.Context
	cancelEnding context.CancelFunc
	crashChecks  crashChecks
	// unanswered are the requests that were given up at upstreams.
	unanswered quarantine.Unanswered
	// serials counts the requests.
	serials atomic.Uint64
}

// New returns a gateway that refuses all requests until Update is called.
func New(o Options) *Gateway {
	g := &Gateway{Options: o, waiting: newQuotaQueue(o.MaxWaitingBytes)}
	if g.Buffers == nil {
		g.Buffers = clientbudget.NewShare(defaultMaxBufferedBytes)
	}
	g.Stats.watchWaiting(g.waiting)
	g.Stats.watchBuffers(g.Buffers)
	if g.Quarantine == nil {
		g.Quarantine = quarantine.NewTable()
	}
	if g.Origins == nil {
		g.Origins = streamorigin.New(streamorigin.Options{Logger: g.Logger})
	}
	g.exiting, g.cancelExiting = context.WithCancel(context.Background())
	g.ending, g.cancelEnding = context.WithCancel(context.Background())
	return g
}

// Update applies a new view of the fleet.
func (g *Gateway) Update(v *fleet.View) {
	entries := v.EntryNames()
	g.table.update(v.Config)
	g.Origins.Observe(v)
	suspected := g.unansweredUpstreams()
	g.Pool.Update(v)
	g.recordReplaced(suspected)
	g.Quota.Configure(v.Config, entries)
	g.RetryBudget.SetEntryCount(len(entries))
}

// HasConfig reports whether a configuration is in force.
func (g *Gateway) HasConfig() bool { return g.table.load() != nil }

// SetExitTime makes a draining instance refuse requests whose deadline is after exit.
func (g *Gateway) SetExitTime(exit time.Time) { g.exitAt.Store(exit.UnixNano()) }

// RefuseWaiting refuses the requests that wait for a load or an upstream. A
// draining instance calls it while there is still time to write the responses.
func (g *Gateway) RefuseWaiting() { g.cancelExiting() }

// EndRunning answers the requests that upstreams are processing. Callers that have got nothing learn
// that the request may have run; streams that have begun are cut.
func (g *Gateway) EndRunning() { g.cancelEnding() }

// exitsBefore reports whether a draining instance exits before the deadline of a
// request and might interrupt it.
func (g *Gateway) exitsBefore(deadline time.Time) bool {
	exit := g.exitAt.Load()
	return exit != 0 && deadline.After(time.Unix(0, exit))
}
