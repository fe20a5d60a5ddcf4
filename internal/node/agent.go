package node

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agent"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/fold"
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
	known, err := poison.NewCrashTable(f)
	if err != nil {
		return err
	}
	parts := &incarnations[agent.Incarnation]{}
	parts.build = func(ctx context.Context, m fold.Member) (*agent.Incarnation, error) {
		return newIncarnation(ctx, f, m, upstream, known, logger)
	}
	set, machine := metrics.NewSet(), lifecycle.New()
	role := agent.New(agent.Deps{
		Fleet: f, Current: parts.current.Load, Upstream: upstream, Lifecycle: machine, Logger: logger, Metrics: set,
	})
	p, err := newProcess(f, machine, set, s.Common, logger)
	if err != nil {
		return err
	}
	role.Register(p.peers.Engine)
	peerapi.RegisterNotices(p.peers.Engine, known)
	peerapi.RegisterBoot(p.peers.Engine, reporter(parts.current.Load))
	peerapi.RegisterSettle(p.peers.Engine, settler(parts.current.Load))
	p.inBackground(func(ctx context.Context) { parts.run(ctx, f, p.report) })
	return errors.Wrap(p.run(ctx), "agent")
}
