package duty

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/usage"
)

const (
	// reportTTL is how long after the end of its window a report is sent.
	reportTTL = 30 * time.Second
	// The pauses after calls to the platform that failed.
	firstCallPause = 500 * time.Millisecond
	callPause      = time.Second
	// notifiedCandidates is how many candidates learn of a report at once. The others, which would
	// take over 14 s after the end of a window, learn of it when the next window is collected.
	notifiedCandidates = 16
	notifyTimeout      = 500 * time.Millisecond
)

// request returns what the holder tells other instances.
func (r *Reporter) request() usage.Request {
	return usage.Request{Holder: r.Self, Token: r.ledger.Claim.Token, Recorded: r.ledger.Last}
}

// collect begins to collect the counts of a window.
func (r *Reporter) collect(ctx context.Context, window int64) {
	req := r.request()
	req.Window = window
	collectCtx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.collecting, r.collected, r.cancelCollecting = window, nil, cancel
	r.mu.Unlock()
	background.Go(r.Logger, "collect usage", func() {
		defer cancel()
		result := r.Collector.Collect(collectCtx, req, func(ctx context.Context) {
			hint := req
			hint.Window, hint.Pending = 0, window
			r.tell(ctx, hint)
		})
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.collecting != window {
			return
		}
		r.collecting = 0
		if collectCtx.Err() == nil {
			r.collected = &result
		}
	})
}

func (r *Reporter) stopCollecting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelCollecting != nil {
		r.cancelCollecting()
	}
	r.collecting, r.collected = 0, nil
}

// record appends the counts that have been collected.
func (r *Reporter) record(ctx context.Context, window int64) {
	r.mu.Lock()
	result := *r.collected
	r.mu.Unlock()
	counts := result.Counts
	if !r.Usage {
		counts = nil
	}
	_, ok := r.append(ctx, "report", reportKey(window), record{Token: r.ledger.Claim.Token, Window: window, Counts: counts})
	if !ok {
		return
	}
	r.mu.Lock()
	r.collected = nil
	r.mu.Unlock()
	if len(result.Unknown) > 0 {
		r.Stats.incomplete.Inc()
		r.Logger.Warn("usage of some instances is unknown", zap.Int64("window", window), zap.Strings("instances", result.Unknown))
	}
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	r.Logger.Info("usage recorded", zap.Int64("window", window), zap.Int64("runs", total), zap.Int("teams", len(counts)),
		zap.Strings("witnessed", result.Witnessed), zap.Duration("after", r.Clock.Now().Sub(r.Windows.End(window))))
	if !r.Usage {
		r.notify(ctx)
	}
	r.decideOrders(result)
}

// ping asks the holder whether it is alive.
func (r *Reporter) ping(ctx context.Context) {
	claim, last := r.ledger.Claim, r.ledger.Last
	callCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	if _, err := r.Notifier.Usage(callCtx, claim.Holder, usage.Request{}); err != nil {
		r.Logger.Warn("holder of the duty does not answer and may not have sent a report", zap.String("holder", claim.Holder), zap.Int64("window", last), telemetry.Err(err))
		r.silent = claim.Token
		return
	}
	r.Told(usage.Request{Holder: claim.Holder, Token: claim.Token, Recorded: last})
}

// notify tells candidates in the background of a claim and of the newest report.
func (r *Reporter) notify(ctx context.Context) {
	req := r.request()
	background.Go(r.Logger, "notify candidates", func() { r.tell(ctx, req) })
}

// tell sends a hint to the first candidates.
func (r *Reporter) tell(ctx context.Context, req usage.Request) {
	r.mu.Lock()
	ranked := r.ranked
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, name := range ranked[:min(len(ranked), notifiedCandidates)] {
		if name == r.Self {
			continue
		}
		calls.Go(func() error {
			if _, err := r.Notifier.Usage(ctx, name, req); err != nil {
				r.Logger.Debug("candidate not notified", zap.String("instance", name), telemetry.Err(err))
			}
			return nil
		})
	}
	_ = calls.Wait()
}

// send sends the report of a window as it is in the log.
func (r *Reporter) send(ctx context.Context, window int64) {
	report := r.seen[window]
	err := r.call(ctx, "usage", func(ctx context.Context, token int64) error {
		return r.Platform.ReportUsage(ctx, r.Self, token, window, report.Counts)
	})
	if errors.Is(err, errStale) {
		return
	}
	if window == r.ledger.Last && r.notified != window {
		r.notified = window
		r.notify(ctx)
	}
	delay := r.Clock.Now().Sub(r.Windows.End(window))
	if err != nil {
		r.Logger.Warn("usage report failed", zap.Int64("window", window), zap.Int64("token", r.ledger.Claim.Token), zap.Duration("after", delay), telemetry.Err(err))
		return
	}
	late := delay > r.Bounds.Late
	r.delivered[window] = true
	r.Stats.lateness.Update(delay.Seconds())
	if late {
		r.Stats.late.Inc()
	}
	r.Logger.Info("usage reported", zap.Int64("window", window), zap.Int64("token", r.ledger.Claim.Token), zap.Duration("after", delay), zap.Bool("late", late))
}

// expire forgets reports that are too old to be sent.
func (r *Reporter) expire(now time.Time) {
	for window := range r.seen {
		if r.current(window, now) {
			continue
		}
		if r.wasHolder && r.Usage && !r.delivered[window] {
			r.Stats.missed.Inc()
			r.Logger.Error("usage report not taken in time", zap.Int64("window", window))
		}
		delete(r.seen, window)
		delete(r.delivered, window)
	}
}

// current reports whether the report of a window is still worth sending.
func (r *Reporter) current(window int64, now time.Time) bool {
	return now.Sub(r.Windows.End(window)) < reportTTL
}
