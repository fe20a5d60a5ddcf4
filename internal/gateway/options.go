package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/exchange"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/retrybudget"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// Loader asks agents to load models.
type Loader interface {
	Ensure(ctx context.Context, agentAddr string, req agentapi.EnsureRequest) (agentapi.EnsureResponse, error)
}

// Options are the parts of a gateway.
type Options struct {
	Dialect    Dialect
	Pool       *upstream.Pool
	Exchange   *exchange.Client
	Quota      *tokenquota.Bank
	Repeats    *retrybudget.Budget
	Loader     Loader
	Machine    *lifecycle.Machine
	DataCentre string
	Logger     *zap.Logger
	Stats      *Stats
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	Options
	tables tables
	// exitAt is when a draining instance ends, in Unix nanoseconds, once it takes
	// only requests that are over by then; 0 before.
	exitAt atomic.Int64
	// leaving ends shortly before a draining instance does.
	leaving context.Context
	leave   context.CancelFunc
}

// New returns a gateway that refuses everything until Update is called.
func New(o Options) *Gateway {
	g := &Gateway{Options: o}
	g.leaving, g.leave = context.WithCancel(context.Background())
	return g
}

// Update takes over a new view.
func (g *Gateway) Update(v *fleet.View) {
	entries := v.EntryNames()
	g.tables.update(v.Config)
	g.Pool.Update(v)
	g.Quota.Configure(v.Config, entries)
	g.Repeats.SetEntryCount(len(entries))
}

// Knows reports whether a configuration is in force.
func (g *Gateway) Knows() bool { return g.tables.load() != nil }

// CloseBy makes a draining instance refuse requests that may last beyond its end.
func (g *Gateway) CloseBy(exit time.Time) { g.exitAt.Store(exit.UnixNano()) }

// RefuseWaiting refuses the requests of a draining instance that wait for a load
// or an upstream, while their answers can still be written.
func (g *Gateway) RefuseWaiting() { g.leave() }

// outlasts reports whether a request with the deadline may be cut by the end of
// a draining instance.
func (g *Gateway) outlasts(deadline time.Time) bool {
	exit := g.exitAt.Load()
	return exit != 0 && deadline.After(time.Unix(0, exit))
}
