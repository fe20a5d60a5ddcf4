package managed

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentlink"
	"github.com/jacinthbend/jacinthbend/internal/entrylink"
	"github.com/jacinthbend/jacinthbend/internal/exchange"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/gateway"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/retrybudget"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/topic"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/platform"
)

// entry is an entry instance.
type entry struct {
	settings settings.Managed
	logger   *zap.Logger
	machine  *lifecycle.Machine
	store    *platform.Store
	links    *entrylink.Client
	follower *topic.Follower
	pool     *upstream.Pool
	exchange *exchange.Client
	quota    *tokenquota.Bank
	gateway  *gateway.Gateway
	agents   *agentlink.Client
	watcher  *agentlink.Watcher
	set      *metrics.Set
}

// RunEntry runs an entry instance until ctx ends and its requests have ended.
func RunEntry(ctx context.Context, p *Process) error {
	s, logger := p.Settings, p.Logger
	e := &entry{settings: s, logger: logger, machine: lifecycle.New(), set: metrics.NewSet()}
	if err := e.assemble(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := e.listen(); err != nil {
		return err
	}
	e.resumeSpending(ctx)
	go e.writeSpending(background)
	go e.follower.Run(background, topic.Operators, topic.Upstreams, topic.Members)
	go e.watcher.Run(background)
	go e.tidy(background)
	go e.loadFromStore(background)
	go p.followSettings(background, e.store)
	go announce(background, e.store, fleet.Member{
		Name: s.Instance, Role: fleet.RoleEntry, DataCentre: s.DataCentre, Addr: s.PeerAddr(),
	}, logger)
	logger.Info("started", zap.String("role", "entry"), zap.Bool("first_start", s.FirstStart))
	e.waitReady(ctx)
	<-ctx.Done()
	return e.drain()
}

func (e *entry) assemble() error {
	s := e.settings
	var err error
	if e.store, err = platform.NewStore(s.StoreAddr); err != nil {
		return err
	}
	if e.links, err = entrylink.NewClient(s.Instance, func() *fleet.View { return e.follower.View() }); err != nil {
		return err
	}
	if e.agents, err = agentlink.NewClient(); err != nil {
		return err
	}
	dialect := platform.HeaderCodec{}
	e.exchange = exchange.NewClient(func(h http.Header) (string, time.Duration) {
		a := dialect.Answer(h)
		return a.RequestID, a.KeepAlive
	})
	e.pool = upstream.NewPool(s.Instance, s.DataCentre, upstream.Bounds{ColdOver: s.Bounds.ColdOver, ColdSlack: s.Bounds.ColdSlack})
	e.quota = tokenquota.NewBank(s.Instance, tokenquota.Bounds{Window: s.QuotaWindow(), Over: s.Bounds.QuotaOver, Slack: s.Bounds.QuotaSlack}, e.links)
	e.gateway = gateway.New(gateway.Options{
		Dialect: dialect, Pool: e.pool, Exchange: e.exchange, Quota: e.quota,
		Repeats: retrybudget.New(retrybudget.Bounds{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.RetryWindow()}),
		Loader:  e.agents, Machine: e.machine, DataCentre: s.DataCentre, Logger: e.logger, Stats: gateway.NewStats(e.set),
	})
	e.follower = topic.NewFollower(topic.Options{
		Source:   topic.NewRelay(e.store, e.links, func(t topic.Name) { e.follower.Answered(t) }),
		Fallback: e.links, Decoder: platform.Decoder{}, Logger: e.logger, OnChange: e.gateway.Update,
	})
	e.watcher = agentlink.NewWatcher(s.Instance, e.agents, e.pool, e.engines, e.logger)
	return nil
}

// engines returns how many engines share the weight store with an upstream, and
// its place among them.
func (e *entry) engines(upstreamID string) (n, rank int) {
	v := e.follower.View()
	if v == nil {
		return 0, 0
	}
	return v.Engines(upstreamID)
}

func (e *entry) listen() error {
	s := e.settings
	callers, err := listen("callers", s.CallerAddr, peer.ServerOptions{MaxBodyBytes: callerMaxBody, Verbatim: true})
	if err != nil {
		return err
	}
	callers.Any("/*path", e.gateway.Serve)
	ready, err := listen("readiness", s.ReadyAddr, peer.ServerOptions{MaxBodyBytes: peerMaxBody})
	if err != nil {
		return err
	}
	ready.GET(platform.ReadyPath, func(_ context.Context, c *app.RequestContext) {
		if ok, why := e.ready(); !ok {
			c.String(http.StatusServiceUnavailable, why)
		}
	})
	peers, err := listen("peers", s.PeerAddr(), peer.ServerOptions{MaxBodyBytes: peerMaxBody})
	if err != nil {
		return err
	}
	entrylink.Register(peers.Engine, e.quota, e.follower)
	ops, err := operators(s.OperatorAddr(), e.set, e.ready)
	if err != nil {
		return err
	}
	serve(callers, ready, peers, ops)
	return nil
}

func (e *entry) ready() (bool, string) {
	if state := e.machine.State(); state != lifecycle.Serving {
		return false, string(state)
	}
	return true, ""
}

// readyPoll is how often a starting instance looks whether it knows enough.
const readyPoll = 20 * time.Millisecond

// waitReady begins to serve when a configuration and upstreams are known.
func (e *entry) waitReady(ctx context.Context) {
	for ctx.Err() == nil {
		if v := e.follower.View(); v != nil && len(v.Upstreams) > 0 {
			if err := e.machine.Serve(); err != nil {
				e.logger.Error("the instance cannot begin to serve", zap.Error(err))
			}
			e.logger.Info("ready", zap.Int64("version", v.Config.Version), zap.Int("upstreams", len(v.Upstreams)))
			return
		}
		sleep(ctx, readyPoll)
	}
}

// tidyPause is how often idle connections are looked through.
const tidyPause = time.Second

func (e *entry) tidy(ctx context.Context) {
	for ctx.Err() == nil {
		e.exchange.Forget(e.pool.Known)
		sleep(ctx, tidyPause)
	}
}
