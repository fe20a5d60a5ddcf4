package managed

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/duty"
	"github.com/jacinthbend/jacinthbend/internal/entryrpc"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/usage"
	"github.com/jacinthbend/jacinthbend/internal/witness"
	"github.com/jacinthbend/jacinthbend/platform"
)

// duties are the components for the calls that are the duty of one entry instance at a time.
type duties struct {
	clock     *usage.Clock
	counter   *usage.Counter
	collector *usage.Collector
	reporter  *duty.Reporter
}

// newDuties returns the components of the run that the random number start identifies, or nil if the
// settings name no duty.
func newDuties(s settings.Managed, start uint64, store *platform.Store, client *entryrpc.Client, witnesses usage.Witnesses, pool *upstream.Pool, set *metrics.Set, logger *zap.Logger) *duties {
	if !s.Duties.Has(settings.DutyUsage) && !s.Duties.Has(settings.DutyAutoscale) {
		return nil
	}
	windows := usage.Windows{Length: s.UsageWindow()}
	d := &duties{clock: usage.NewClock(time.Now(), witness.BootTime)}
	d.counter = usage.NewCounter(start, d.clock, windows, s.FirstStart)
	peers := entryrpc.NewUsageClient(client)
	var scaler *scaler
	var busy func() map[string]map[string]float64
	if s.Duties.Has(settings.DutyAutoscale) {
		scaler, busy = newScaler(client.View), pool.Busy
	}
	d.collector = usage.NewCollector(usage.CollectorOptions{
		Self: s.Instance, Counter: d.counter, Clock: d.clock, Windows: windows, Peers: peers, Witnesses: witnesses, Busy: busy, Logger: logger,
	})
	d.reporter = duty.NewReporter(duty.Options{
		Self: s.Instance, Start: start, FirstStart: s.FirstStart, Usage: s.Duties.Has(settings.DutyUsage),
		Bounds: duty.Bounds{Lease: s.DutyLease(), Window: s.UsageWindow(), Late: s.UsageLate(), CallsPerSecond: s.Duties.CallsPerS},
		Clock:  d.clock, Windows: windows, Log: dutyLog{store: store}, Platform: platform.NewCloud(s.Duties.Addr),
		Collector: d.collector, Notifier: peers, Orders: scaler.orders(), Fence: fence, Stats: duty.NewStats(set), Logger: logger,
	})
	return d
}

var _ entryrpc.UsageCounter = (*duties)(nil)

// AnswerUsage implements entryrpc.UsageCounter.
func (d *duties) AnswerUsage(ctx context.Context, req usage.Request) usage.Answer {
	if req.CorrectionMS != nil {
		d.clock.Correct(time.Duration(*req.CorrectionMS) * time.Millisecond)
	}
	d.reporter.Told(req)
	answer := d.collector.OwnAnswer(req.Window)
	if len(req.Ask) > 0 {
		return d.collector.AskOthers(ctx, req, answer)
	}
	return answer
}

// setView applies a new view of the fleet.
func (d *duties) setView(v *fleet.View) { d.reporter.SetMembers(v.EntryNames()) }
