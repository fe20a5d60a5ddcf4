package node

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/entry"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/operator/console"
	"github.com/jacinthbend/jacinthbend/internal/peerapi"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// RunEntry runs an entry instance until ctx ends, then drains.
func RunEntry(ctx context.Context, s settings.Entry, logger *zap.Logger) error {
	f, err := newFleet(s.Common, record.RoleEntry, "", logger)
	if err != nil {
		return err
	}
	known, err := poison.NewKnown(f)
	if err != nil {
		return err
	}
	parts := newEntryIncarnations(f)
	routes := newRouter()
	set := metrics.NewSet()
	machine := lifecycle.New()
	role, err := newEntryRole(f, s, known, parts, routes, machine, set)
	if err != nil {
		return err
	}
	p, err := newProcess(f, machine, set, s.Common, logger)
	if err != nil {
		return err
	}
	callers, err := p.listen("callers", s.CallerAddr, callerMaxBody)
	if err != nil {
		return err
	}
	role.Register(callers.Engine)
	registerEntryPeers(p, parts, known)
	registerOperators(p, s.OperatorToken)
	p.inBackground(
		func(ctx context.Context) { parts.run(ctx, f, p.report) },
		func(ctx context.Context) { every(ctx, sweepInterval, func() { routes.retain(f.View()) }) },
	)
	return errors.Wrap(p.run(ctx), "entry instance")
}

func newEntryIncarnations(f *fleet) *entryIncarnations {
	parts := &entryIncarnations{}
	parts.build = func(ctx context.Context, m fold.Member) (*entryParts, error) { return newEntryParts(ctx, f, m) }
	parts.observe = func(p *entryParts, v *fold.View) {
		p.tracker.Observe(v)
		p.loads.ViewChanged()
	}
	return parts
}

func newEntryRole(f *fleet, s settings.Entry, known *poison.Known, parts *entryIncarnations, routes *router, machine *lifecycle.Machine, set *metrics.Set) (*entry.Entry, error) {
	dispatcher, err := work.NewClient()
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Deps{
		Fleet:      f,
		Dispatcher: dispatcher,
		Budget:     parts,
		Queue:      parts,
		Router:     routes,
		Once:       parts,
		Guard:      poison.NewGuard(known, agents{f}, reports{f}, notifier{fleet: f}, freshness.ViewBound),
		Lifecycle:  machine,
		DataCentre: s.DataCentre,
		Logger:     f.logger,
		Metrics:    set,
	}), nil
}

// registerEntryPeers serves other instances.
func registerEntryPeers(p *process, parts *entryIncarnations, known *poison.Known) {
	peerapi.RegisterBudget(p.peers.Engine, parts.owner)
	peerapi.RegisterWriter(p.peers.Engine, parts.writer)
	peerapi.RegisterNotices(p.peers.Engine, known)
	peerapi.RegisterLoads(p.peers.Engine, parts.loads)
}

// registerOperators keeps the audit trail, and serves the console where the
// settings have a token.
func registerOperators(p *process, token string) {
	source, follow := newAuditSource(p.fleet)
	p.inBackground(follow, source.carry)
	if token == "" {
		return
	}
	publisher := operator.NewPublisher(p.fleet.Replica, source.Trail)
	console.New(publisher, source.Trail, console.Settings{Token: token}).Register(p.operators.Engine)
}
