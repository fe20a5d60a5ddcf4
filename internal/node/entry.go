package node

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/entry"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/operator/console"
	"github.com/jacinthbend/jacinthbend/internal/peerapi"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/settings"
)

// RunEntry runs an entry instance until ctx ends, then drains.
func RunEntry(ctx context.Context, s settings.Entry, logger *zap.Logger) error {
	f, err := newFleet(s.Common, record.RoleEntry, "", logger)
	if err != nil {
		return err
	}
	crashTable, err := poison.NewCrashTable(f)
	if err != nil {
		return err
	}
	scopedState := newScopedEntryState(f)
	upstreamRouter := newRouter()
	metricSet := metrics.NewSet()
	stateMachine := lifecycle.New()
	entryRole, err := newEntryRole(f, s, crashTable, scopedState, upstreamRouter, stateMachine, metricSet)
	if err != nil {
		return err
	}
	p, err := newProcess(f, stateMachine, metricSet, s.Common, logger)
	if err != nil {
		return err
	}
	callerServer, err := p.listen("callers", s.CallerAddr, callerMaxBodyBytes)
	if err != nil {
		return err
	}
	entryRole.Register(callerServer.Engine)
	registerEntryPeerRoutes(p, scopedState, crashTable)
	registerAuditAndConsole(p, s.OperatorToken)
	p.addBackground(
		func(ctx context.Context) { scopedState.run(ctx, f, p.report) },
		func(ctx context.Context) { every(ctx, sweepInterval, func() { upstreamRouter.retain(f.View()) }) },
	)
	return errors.Wrap(p.run(ctx), "entry instance")
}

func newScopedEntryState(f *fleet) *scopedEntryState {
	scopedState := &scopedEntryState{}
	scopedState.build = func(ctx context.Context, m controlstate.Member) (*entryState, error) { return newEntryState(ctx, f, m) }
	scopedState.observe = func(s *entryState, v *controlstate.View) {
		s.budgetTracker.Observe(v)
		s.loadOwner.ViewChanged()
	}
	return scopedState
}

func newEntryRole(f *fleet, s settings.Entry, crashTable *poison.CrashTable, scopedState *scopedEntryState, upstreamRouter *router, stateMachine *lifecycle.Machine, metricSet *metrics.Set) (*entry.Entry, error) {
	dispatcher, err := dispatch.NewClient()
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Deps{
		Fleet:      f,
		Dispatcher: dispatcher,
		Budget:     scopedState,
		Queue:      scopedState,
		Router:     upstreamRouter,
		Once:       scopedState,
		Guard:      poison.NewGuard(crashTable, agentClient{f}, recordAppender{f}, crashNotifier{fleet: f}, freshness.ViewBound),
		Lifecycle:  stateMachine,
		DataCentre: s.DataCentre,
		Logger:     f.logger,
		Metrics:    metricSet,
	}), nil
}

// registerEntryPeerRoutes registers the calls that other instances make to an
// entry instance.
func registerEntryPeerRoutes(p *process, scopedState *scopedEntryState, crashTable *poison.CrashTable) {
	peerapi.RegisterBudget(p.peerServer.Engine, scopedState.budgetOwner)
	peerapi.RegisterWriter(p.peerServer.Engine, scopedState.onceWriter)
	peerapi.RegisterNotices(p.peerServer.Engine, crashTable)
	peerapi.RegisterLoads(p.peerServer.Engine, scopedState.loadOwner)
}

// registerAuditAndConsole adds the background tasks that collect and archive
// audit entries. If the settings contain an operator token, it also serves the
// console.
func registerAuditAndConsole(p *process, token string) {
	source, follow := newAuditSource(p.fleet)
	p.addBackground(follow, source.runArchiver)
	if token == "" {
		return
	}
	publisher := operator.NewPublisher(p.fleet.Replica, source.RecentEntries)
	console.New(publisher, source.RecentEntries, console.Settings{Token: token}).Register(p.operatorServer.Engine)
}
