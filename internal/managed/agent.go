package managed

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/engineagent"
	"github.com/jacinthbend/jacinthbend/internal/entryrpc"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
	"github.com/jacinthbend/jacinthbend/internal/witness"
	"github.com/jacinthbend/jacinthbend/platform"
)

// RunAgent runs the agent beside an engine until ctx ends.
func RunAgent(ctx context.Context, p *Process) error {
	s, logger := p.Settings, p.Logger
	store, err := platform.NewStore(s.StoreAddr)
	if err != nil {
		return err
	}
	p.run(ctx, "watch settings", func(ctx context.Context) { p.watchSettings(ctx, store) })
	engine, err := platform.NewEngine(s.UpstreamAddr)
	if err != nil {
		return err
	}
	topics, err := entryrpc.NewAgentTopics(s.DataCentre)
	if err != nil {
		return err
	}
	source := topicwatch.NewRelayedSource(store, topics, func(topicwatch.Name, time.Time) {})
	era := newStoreEra()
	follower := topicwatch.NewFollower(topicwatch.Options{Source: source, Decoder: platform.Decoder{}, Logger: logger, LongOperatorWait: true, OnEra: era.set})
	agent := engineagent.New(engineagent.Options{
		Name: s.Instance, Service: s.Service, Engine: engine, CacheEvents: engine, Logger: logger, FirstStart: s.FirstStart, OnCaller: topics.NoteCaller,
		Config: func() *fleet.Config {
			if v := follower.View(); v != nil {
				return v.Config
			}
			return nil
		},
		ColdLimit:      engineagent.ColdLimit{Over: s.Bounds.ColdOver, Slack: s.Bounds.ColdSlack},
		StoreLoadLimit: engineagent.StoreLoadLimit{Window: s.LoadWindow(), RateFactor: s.Bounds.LoadOver},
	})
	budget, err := newClientBudget(s.MemoryMB)
	if err != nil {
		return err
	}
	peers, err := listen("peers", s.PeerAddr(), budget, peer.ServerOptions{MaxBodyBytes: peerMaxBody})
	if err != nil {
		return err
	}
	agent.Register(peers.Engine)
	records := witness.NewTable(s.Instance, s.QuotaWindow(), witness.BootTime)
	records.Register(peers.Engine)
	set := metrics.NewSet()
	set.NewGauge("jacinthbend_witness_records", func() float64 { return float64(records.Len()) })
	agent.RegisterMetrics(set)
	operators, err := newOperatorServer(s.OperatorAddr(), budget, set, func() (bool, string) { return true, "" })
	if err != nil {
		return err
	}
	startServers(p.Logger, peers, operators)
	p.run(ctx, "follow topics", func(ctx context.Context) { follower.Run(ctx, topicwatch.Operators) })
	p.run(ctx, "announce", func(ctx context.Context) {
		announce(ctx, store, era, fleet.Member{
			Name: s.Instance, Role: fleet.RoleAgent, DataCentre: s.DataCentre, Addr: s.PeerAddr(), UpstreamAddr: s.UpstreamAddr,
		}, logger, func(p topicwatch.Position) { agent.SetFence(fence(p)) })
	})
	p.run(ctx, "follow prompt cache", agent.FollowCacheEvents)
	logger.Info("started", zap.String("role", "agent"), zap.String("upstream_addr", s.UpstreamAddr))
	background.Run(ctx, logger, "agent", agent.Run)
	logger.Info("stopped")
	return nil
}
