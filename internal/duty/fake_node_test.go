package duty_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/duty"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
	"github.com/jacinthbend/jacinthbend/internal/usage"
)

// node is one run of an entry instance.
type node struct {
	sim       *sim
	name      string
	start     uint64
	clock     *usage.Clock
	counter   *usage.Counter
	collector *usage.Collector
	*duty.Reporter
	killed, frozen atomic.Bool
	// Cuts of the instance from the log, the platform's calls and the other instances.
	cutLog, cutCloud, cutPeers atomic.Bool
}

func fence(p topicwatch.Position) int64 { return p.Era<<40 + p.Offset + 1 }

// startNode starts an instance whose clock is wrong by clockError.
func (s *sim) startNode(name string, first bool, clockError time.Duration) *node {
	n := &node{sim: s, name: name, start: rand.Uint64()}
	n.clock = usage.NewClock(time.Now().Add(clockError), func() time.Duration { n.gate(); return time.Since(s.began) })
	n.counter = usage.NewCounter(n.start, n.clock, s.windows, first)
	n.collector = usage.NewCollector(usage.CollectorOptions{Self: name, Counter: n.counter, Clock: n.clock, Windows: s.windows, Peers: n, Witnesses: n, Logger: zap.NewNop()})
	n.Reporter = duty.NewReporter(duty.Options{
		Self: name, Start: n.start, FirstStart: first, Usage: true, Bounds: s.bounds, Clock: n.clock, Windows: s.windows,
		Log: n, Platform: n, Collector: n.collector, Notifier: n, Stats: duty.NewStats(metrics.NewSet()), Logger: s.logger.With(zap.String("instance", name)),
		Fence: fence,
	})
	if s.scale {
		n.Orders = n.orders
	}
	n.SetMembers(s.names)
	n.SetEra(s.log.currentEra())
	s.mu.Lock()
	s.nodes[name] = n
	s.mu.Unlock()
	go n.Run(s.ctx)
	go n.traffic()
	return n
}

// gate stops a goroutine of the instance while it is frozen, and ends it if it was killed.
func (n *node) gate() {
	for n.frozen.Load() && !n.killed.Load() {
		time.Sleep(time.Millisecond)
	}
	if n.killed.Load() {
		runtime.Goexit()
	}
}

// reach waits until the call fails if the instance is cut off from a peer.
func (n *node) reach(ctx context.Context, cut *atomic.Bool) error {
	n.gate()
	if cut.Load() {
		<-ctx.Done()
	}
	n.gate()
	return ctx.Err()
}

// traffic begins runs, and reports them to the witnesses.
func (n *node) traffic() {
	const interval = 50 * time.Millisecond
	for i := 0; n.sim.ctx.Err() == nil; i++ {
		time.Sleep(interval)
		n.gate()
		for team, every := range map[string]int{"busy": 5, "small": 20} {
			if i%every == 0 {
				n.sim.ran(team)
				n.counter.Ran(team)
			}
		}
		if section, err := n.counter.Section(); err == nil && !n.cutPeers.Load() {
			n.sim.setSection(n, section)
		}
	}
}

func (n *node) Append(ctx context.Context, key string, value []byte, at int64) (topicwatch.Position, error) {
	n.sim.step(n, "before append")
	if err := n.reach(ctx, &n.cutLog); err != nil {
		return topicwatch.Position{}, err
	}
	p, err := n.sim.log.append(ctx, key, value, at)
	n.sim.step(n, "after append")
	n.gate()
	return p, err
}

func (n *node) List(ctx context.Context) (topicwatch.Page, error) {
	if err := n.reach(ctx, &n.cutLog); err != nil {
		return topicwatch.Page{}, err
	}
	defer n.gate()
	return n.sim.log.list()
}

func (n *node) Read(ctx context.Context, from topicwatch.Position) (topicwatch.Page, error) {
	if err := n.reach(ctx, &n.cutLog); err != nil {
		return topicwatch.Page{}, err
	}
	defer n.gate()
	return n.sim.log.read(from)
}

const callLatency = 4 * time.Millisecond

func (n *node) ReportUsage(ctx context.Context, holder string, token, window int64, counts map[string]int64) error {
	n.sim.step(n, "before send")
	if err := n.reach(ctx, &n.cutCloud); err != nil {
		return err
	}
	time.Sleep(callLatency + time.Duration(n.sim.slow.Load()))
	status := n.sim.cloud.ReportUsage(holder, token, window, counts)
	n.sim.step(n, "after send")
	n.gate()
	switch {
	case n.sim.loseAnswer.CompareAndSwap(true, false):
		<-ctx.Done()
		return errFault
	case status == http.StatusTooManyRequests:
		return duty.ErrCallLimit
	case status != http.StatusOK:
		return errFault
	}
	return nil
}

func (n *node) Scale(ctx context.Context, holder string, token int64, o duty.Order) error {
	if err := n.reach(ctx, &n.cutCloud); err != nil {
		return err
	}
	time.Sleep(callLatency)
	if n.sim.cloud.Scale(holder, token, o.Service, o.DataCentre) != http.StatusOK {
		return errFault
	}
	n.sim.ordered.Store(int64(o.Desired))
	return nil
}

// orders wants a number of servers that changes with each window.
func (n *node) orders(now time.Time, _ map[string]map[string]float64, _ func(string, string) int) []duty.Order {
	return []duty.Order{{Service: "s", DataCentre: "a", Desired: wantedAt(n.sim.windows.At(now))}}
}

func wantedAt(window int64) int { return 2 + int(window%3) }

func (n *node) Names() []string { return n.sim.names }

func (n *node) Usage(ctx context.Context, name string, req usage.Request) (usage.Answer, error) {
	if req.Window != 0 {
		n.sim.step(n, "collect")
	}
	if err := n.reach(ctx, &n.cutPeers); err != nil {
		return usage.Answer{}, err
	}
	time.Sleep(time.Millisecond)
	to := n.sim.node(name)
	if to.killed.Load() || to.frozen.Load() || to.cutPeers.Load() {
		<-ctx.Done()
		return usage.Answer{}, errFault
	}
	if req.CorrectionMS != nil {
		to.clock.Correct(time.Duration(*req.CorrectionMS) * time.Millisecond)
	}
	to.Told(req)
	if len(req.Ask) > 0 {
		return to.collector.AskOthers(ctx, req, to.counter.Answer(req.Window)), nil
	}
	return to.counter.Answer(req.Window), nil
}

func (n *node) Sections(_ context.Context, names []string) (map[string][]json.RawMessage, error) {
	return n.sim.sectionsOf(names), nil
}
