package managed

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentclient"
	"github.com/jacinthbend/jacinthbend/internal/agentrelay"
	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
	"github.com/jacinthbend/jacinthbend/internal/entryrpc"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/gateway"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/quarantine"
	"github.com/jacinthbend/jacinthbend/internal/retrybudget"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/streamorigin"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/upstreamclient"
	"github.com/jacinthbend/jacinthbend/internal/witness"
	"github.com/jacinthbend/jacinthbend/platform"
)

// entry holds the components of an entry instance.
type entry struct {
	settings     settings.Managed
	logger       *zap.Logger
	lifecycle    *lifecycle.Machine
	store        *platform.Store
	era          *storeEra
	entryClient  *entryrpc.Client
	follower     *topicwatch.Follower
	pool         *upstream.Pool
	exchange     *upstreamclient.Client
	quota        *tokenquota.Limiter
	gateway      *gateway.Gateway
	agentClient  *agentclient.Client
	agentWatcher *agentclient.Watcher
	agentRelay   *agentrelay.Relay
	agentReader  *agentrelay.Reader
	crashReports *crashReports
	startWait    *startWait
	// quotaRestored is closed once the quota usage of earlier starts has been read.
	quotaRestored chan struct{}
	// witnessesRead is closed once it is known what the witnesses tell of earlier starts, and began is
	// when this start began, on the boot-time clock.
	witnessesRead chan struct{}
	began         time.Duration
	witnessClient *witness.Client
	reporter      *witness.Reporter
	origins       *streamorigin.Tracker
	metrics       *metrics.Set
	// budget bounds what the listeners and the gateway hold for clients.
	budget *clientbudget.Budget
	// duties is nil if the settings name no duty.
	duties *duties
}

// RunEntry runs an entry instance until ctx ends, and then drains it.
func RunEntry(ctx context.Context, p *Process) error {
	s, logger := p.Settings, p.Logger
	e := &entry{settings: s, logger: logger, lifecycle: lifecycle.New(), era: newStoreEra(), metrics: metrics.NewSet(), quotaRestored: make(chan struct{}), witnessesRead: make(chan struct{})}
	e.startWait = newStartWait(e.metrics, logger)
	if err := e.assemble(); err != nil {
		return err
	}
	jobs, stop := context.WithCancel(context.Background())
	defer stop()
	p.run(jobs, "watch settings", func(ctx context.Context) { p.watchSettings(ctx, e.store) })
	if err := e.listen(); err != nil {
		return err
	}
	e.holdShares()
	p.run(jobs, "restore quota usage", e.restoreQuotaUsage)
	p.run(jobs, "report quota usage", e.reportUsage)
	p.run(jobs, "write checkpoints", e.writeCheckpoints)
	p.run(jobs, "follow topics", func(ctx context.Context) {
		e.follower.Run(ctx, topicwatch.Operators, topicwatch.Upstreams, topicwatch.Members, topicwatch.Crashes)
	})
	p.run(jobs, "write records of streams", e.origins.Run)
	p.run(jobs, "write crash reports", e.crashReports.publish)
	p.run(jobs, "watch agents", e.agentWatcher.Run)
	p.run(jobs, "read agent states", e.agentReader.Run)
	p.run(jobs, "close idle connections", e.pruneConnections)
	p.run(jobs, "request store loads", e.requestStoreLoads)
	dutyJobs, stopDuties := context.WithCancel(jobs)
	defer stopDuties()
	if e.duties != nil {
		p.run(dutyJobs, "duties", e.duties.reporter.Run)
		p.run(jobs, "give usage counts to witnesses", func(ctx context.Context) { e.duties.sendSections(ctx, e.reporter, logger) })
	}
	p.run(jobs, "announce", func(ctx context.Context) {
		// The member record of an earlier start tells that there was one.
		select {
		case <-ctx.Done():
			return
		case <-e.quotaRestored:
		}
		announce(ctx, e.store, e.era, fleet.Member{
			Name: s.Instance, Role: fleet.RoleEntry, DataCentre: s.DataCentre, Addr: s.PeerAddr(), CPUShare: s.CPUShare,
		}, logger, func(topicwatch.Position) {})
	})
	logger.Info("started", zap.String("role", "entry"), zap.Bool("first_start", s.FirstStart))
	e.waitReady(ctx)
	<-ctx.Done()
	// The next candidate takes the duty over, while this instance still answers for what it counted.
	stopDuties()
	return e.drain()
}

func (e *entry) assemble() error {
	s := e.settings
	var err error
	if e.budget, err = newClientBudget(s.MemoryMB); err != nil {
		return err
	}
	if e.store, err = platform.NewStore(s.StoreAddr); err != nil {
		return err
	}
	if e.entryClient, err = entryrpc.NewClient(s.Instance, func() *fleet.View { return e.follower.View() }); err != nil {
		return err
	}
	if e.agentClient, err = agentclient.NewClient(); err != nil {
		return err
	}
	dialect := platform.HeaderCodec{}
	e.exchange = upstreamclient.NewClient(func(h http.Header) (string, time.Duration) {
		a := dialect.Answer(h)
		return a.RequestID, a.KeepAlive
	})
	e.pool = upstream.NewPool(s.Instance, s.DataCentre, upstream.Bounds{ColdOver: s.Bounds.ColdOver, ColdSlack: s.Bounds.ColdSlack, DrainTime: s.DrainTime(), SpillWeight: s.SpillWeight})
	e.pool.RegisterMetrics(e.metrics)
	e.exchange.SetIdleLimit(e.pool.IdleLimit)
	e.quota = tokenquota.NewLimiter(s.Instance, tokenquota.Bounds{Window: s.QuotaWindow(), Over: s.Bounds.QuotaOver, Slack: s.Bounds.QuotaSlack}, e.entryClient)
	e.quota.RegisterMetrics(e.metrics)
	if !s.FirstStart {
		e.quota.Resume(tokenquota.Unread, tokenquota.Checkpoint{})
	}
	if e.witnessClient, err = witness.NewClient(); err != nil {
		return err
	}
	e.reporter = witness.NewReporter(witness.ReporterOptions{
		Instance: s.Instance, Transport: e.witnessClient, Clock: witness.BootTime, Source: e.quota, Members: e.members, Logger: e.logger, Metrics: e.metrics,
	})
	crashes := quarantine.NewTable()
	e.crashReports = newCrashReports(s.Instance, crashes, e.store, entryrpc.NewCrashSender(e.entryClient), e.entryCount, e.logger)
	e.origins = streamorigin.New(streamorigin.Options{Log: streamLog{instance: s.Instance, store: e.store}, Peers: e.entryClient, Entries: e.entryCount, Logger: e.logger, RefreshList: e.refreshUpstreams})
	e.duties = newDuties(s, e.reporter.Start(), e.store, e.entryClient, usageWitnesses{transport: e.witnessClient, members: e.members}, e.pool, e.metrics, e.logger)
	e.gateway = gateway.New(gateway.Options{
		Runs:       e.runCounter(),
		Origins:    e.origins,
		Quarantine: crashes, Dialect: dialect, Pool: e.pool, UpstreamClient: e.exchange, Quota: e.quota,
		RetryBudget: retrybudget.New(retrybudget.Bounds{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.RetryWindow()}),
		Loader:      e.agentClient, Lifecycle: e.lifecycle, DataCentre: s.DataCentre, Buffers: e.budget.Responses, MaxWaitingBytes: s.MaxWaitingBytes(), Logger: e.logger, Stats: gateway.NewStats(e.metrics),
	})
	e.follower = topicwatch.NewFollower(topicwatch.Options{
		Source: topicwatch.NewRelayedSource(e.store, e.entryClient, func(t topicwatch.Name, at time.Time) {
			e.follower.MarkStoreRead(t, at)
			if t == topicwatch.Upstreams {
				e.origins.ListConfirmed(at)
			}
		}),
		Fallback: e.entryClient, Decoder: platform.Decoder{}, Logger: e.logger, ApplyTime: s.ConfigApplyTime(), QuotaWindow: s.QuotaWindow(), OnRecords: e.crashReports.apply,
		OnInvalid: func(t topicwatch.Name) {
			e.metrics.GetOrCreateCounter(fmt.Sprintf("jacinthbend_records_skipped_total{topic=%q}", string(t))).Inc()
		},
		OnEra: func(era int64) {
			e.era.set(era)
			crashes.Republish()
			e.quota.RequestCheckpoint()
			if e.duties != nil {
				e.duties.reporter.SetEra(era)
			}
		},
		OnChange: func(v *fleet.View) {
			if e.duties != nil {
				e.duties.setView(v)
			}
			crashes.SetInstances(v.EntryRank(s.Instance), v.EntryCount())
			e.gateway.Update(v)
		},
	})
	e.agentRelay = agentrelay.NewRelay(e.pool)
	e.agentReader = agentrelay.NewReader(agentrelay.Options{
		Self: s.Instance, DataCentre: s.DataCentre, Relay: e.agentRelay, Peers: e.entryClient.Peers(), Pool: e.pool,
		View: func() *fleet.View { return e.follower.View() }, Logger: e.logger,
	})
	e.agentWatcher = agentclient.NewWatcher(fleet.Member{Name: s.Instance, Addr: s.PeerAddr(), DataCentre: s.DataCentre}, e.agentClient, e.agentReader, e.agentReader.Sink(), e.engineRank, e.logger)
	return nil
}

// runCounter returns what counts runs for usage reports, nil if nothing does.
func (e *entry) runCounter() gateway.RunCounter {
	if e.duties == nil {
		return nil
	}
	return e.duties.counter
}

// refreshUpstreams reads the list of upstreams from the store itself, since a relay may be out of step,
// too.
func (e *entry) refreshUpstreams(ctx context.Context) error {
	began := time.Now()
	if err := e.follower.Refresh(ctx, e.store, topicwatch.Upstreams); err != nil {
		return err
	}
	e.origins.ListConfirmed(began)
	return nil
}

// entryCount returns the number of entry instances, 1 as long as it is unknown.
func (e *entry) entryCount() int {
	if v := e.follower.View(); v != nil {
		return v.EntryCount()
	}
	return 1
}

// engineRank returns how many engines share the weight store with an upstream,
// and the rank of the upstream's engine among them.
func (e *entry) engineRank(upstreamID string) (count, rank int) {
	v := e.follower.View()
	if v == nil {
		return 0, 0
	}
	return v.ServiceRank(upstreamID)
}

func (e *entry) listen() error {
	s := e.settings
	callers, err := listen("callers", s.CallerAddr, e.budget, peer.ServerOptions{MaxBodyBytes: callerMaxBody, RequestIDHeader: platform.HeaderCodec{}.RequestIDHeader(), OmitDefaultHeaders: true})
	if err != nil {
		return err
	}
	callers.Any("/*path", e.gateway.Serve)
	ready, err := listen("readiness", s.ReadyAddr, e.budget, peer.ServerOptions{MaxBodyBytes: peerMaxBody})
	if err != nil {
		return err
	}
	ready.GET(platform.ReadyPath, func(_ context.Context, c *app.RequestContext) {
		if ok, reason := e.ready(); !ok {
			c.String(http.StatusServiceUnavailable, reason)
		}
	})
	peers, err := listen("peers", s.PeerAddr(), e.budget, peer.ServerOptions{MaxBodyBytes: peerMaxBody})
	if err != nil {
		return err
	}
	entryrpc.Register(peers.Engine, e.quota, e.follower, e.gateway.Quarantine, e.origins)
	if e.duties != nil {
		entryrpc.RegisterUsage(peers.Engine, e.duties)
	}
	e.agentRelay.Register(peers.Engine)
	operators, err := newOperatorServer(s.OperatorAddr(), e.budget, e.metrics, e.ready)
	if err != nil {
		return err
	}
	startServers(e.logger, callers, ready, peers, operators)
	return nil
}

func (e *entry) ready() (bool, string) {
	if state := e.lifecycle.State(); state != lifecycle.Serving {
		if reason := e.startWait.current(); state == lifecycle.Starting && reason != waitNothing {
			return false, string(state) + ": waits for " + string(reason)
		}
		return false, string(state)
	}
	return true, ""
}

// readyPollInterval is how often a starting instance checks whether it can
// serve.
const readyPollInterval = 20 * time.Millisecond

// waitReady starts serving once a configuration and at least one upstream are
// known. All else that it waits for has a bound of its own.
func (e *entry) waitReady(ctx context.Context) {
	for ctx.Err() == nil {
		v := e.follower.View()
		if v == nil {
			e.startWait.set(waitConfig)
			sleep(ctx, readyPollInterval)
			continue
		}
		if len(v.Upstreams) == 0 {
			e.startWait.set(waitUpstream)
			sleep(ctx, readyPollInterval)
			continue
		}
		e.startWait.set(waitLostRecords)
		e.addLostRecords(ctx)
		e.startWait.set(waitCrashReports)
		e.crashReports.waitListed(ctx)
		e.startWait.set(waitQuotaUsage)
		e.waitQuotaRestored(ctx)
		e.startWait.set(waitNothing)
		if ctx.Err() != nil {
			return
		}
		if err := e.lifecycle.Serve(); err != nil {
			e.logger.Error("cannot start serving", zap.Error(err))
		}
		e.logger.Info("ready", zap.Int64("version", v.Config.Version), zap.Int("upstreams", len(v.Upstreams)))
		return
	}
}

// addLostRecords asks other entry instances for records of the operators that the store has
// lost. The copy may still have a withdrawn key, so the instance does that before it is ready.
func (e *entry) addLostRecords(ctx context.Context) {
	for _, p := range e.entryClient.LostRecords(ctx, topicwatch.Operators, e.follower.Era(topicwatch.Operators)) {
		e.follower.AddLost(topicwatch.Operators, p)
	}
}

// pruneInterval is how often unneeded idle connections to upstreams are closed.
const pruneInterval = time.Second

func (e *entry) pruneConnections(ctx context.Context) {
	for ctx.Err() == nil {
		e.exchange.CloseIdle(e.pool.HasAddr)
		sleep(ctx, pruneInterval)
	}
}
