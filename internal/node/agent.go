package node

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agent"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/peerapi"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/settings"
)

// RunAgent runs an agent until ctx ends, then drains.
func RunAgent(ctx context.Context, s settings.Agent, logger *zap.Logger) error {
	f, err := newFleet(s.Common, record.RoleAgent, s.Pool, logger)
	if err != nil {
		return err
	}
	upstream, err := engine.NewClient(s.UpstreamAddr)
	if err != nil {
		return err
	}
	crashTable, err := poison.NewCrashTable(f)
	if err != nil {
		return err
	}
	scopedState := &incarnationScoped[agent.Incarnation]{}
	scopedState.build = func(ctx context.Context, m controlstate.Member) (*agent.Incarnation, error) {
		return newAgentIncarnation(ctx, f, m, upstream, crashTable, logger)
	}
	metricSet, stateMachine := metrics.NewSet(), lifecycle.New()
	agentRole := agent.New(agent.Deps{
		Fleet: f, Current: scopedState.current.Load, Upstream: upstream, Lifecycle: stateMachine, Logger: logger, Metrics: metricSet,
	})
	p, err := newProcess(f, stateMachine, metricSet, s.Common, logger)
	if err != nil {
		return err
	}
	agentRole.Register(p.peerServer.Engine)
	peerapi.RegisterNotices(p.peerServer.Engine, crashTable)
	peerapi.RegisterBoot(p.peerServer.Engine, currentReporter(scopedState.current.Load))
	peerapi.RegisterSettle(p.peerServer.Engine, currentAttempts(scopedState.current.Load))
	p.addBackground(func(ctx context.Context) { scopedState.run(ctx, f, p.report) })
	return errors.Wrap(p.run(ctx), "agent")
}
