package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// errStalled is the reason for cancelling an attempt at an upstream that sends nothing.
var errStalled = errors.New("the upstream stalled: no data received in time")

// Timing of attempts that are cancelled in favour of another upstream.
const (
	stallCheckInterval = 150 * time.Millisecond
	// stallTimeout is how long an attempt may receive no data before it is
	// cancelled, if Pool.Unresponsive also reports its upstream.
	stallTimeout = 450 * time.Millisecond
	// responseTimeoutShare is the share of the remaining time within which an
	// idempotent request without a model must receive the response header, and then
	// each further minProgressBytes, unless it is the last attempt. Processing takes
	// a tenth of the timeout. An upstream that usually takes long gets
	// typicalWorkFactor times its usual time.
	responseTimeoutShare = 0.5
	// minProgressBytes is what a body must grow by to count as progress, so that an
	// upstream that sends a byte now and then is not waited for until the deadline.
	minProgressBytes = 64
)

// Callers disconnect after a gap between events, or before the first, of the longest
// of minEventGap, eventGapObjectives times the objective, and eventGapIntervals times
// the longest interval that the route allows.
const (
	minEventGap        = 2 * time.Second
	eventGapObjectives = 4
	eventGapIntervals  = 8
)

// maxEventGap is how long a stream may go without a complete event.
func maxEventGap(route *fleet.Route) time.Duration {
	return max(minEventGap, eventGapObjectives*route.Objective, eventGapIntervals*route.EventInterval)
}

const (
	// slowWorkFactor is how many times its usual time a sound upstream may take: other
	// work slows machines down by up to 2.5.
	slowWorkFactor = 2.5
	// typicalWorkFactor is the same for responseTimeout. It is smaller, since a longer wait
	// leaves no time for another attempt: with 1.5, that is so only if the usual time is
	// above 0.4 of the remaining time.
	typicalWorkFactor = 1.5
	// maxGapFactor bounds attemptEventGap by multiples of maxEventGap, so that an upstream
	// that was frozen lately is not waited for that long again.
	maxGapFactor = 2
)

// responseTimeout is how long an attempt may take to its response header if the upstream
// usually takes the time typical, 0 if unknown.
func responseTimeout(remaining, typical time.Duration) time.Duration {
	slow := time.Duration(typicalWorkFactor * float64(typical))
	return max(time.Duration(responseTimeoutShare*float64(remaining)), min(remaining, slow))
}

// attemptEventGap is how long an attempt may go without a complete event: maxEventGap, or
// longer at an upstream that is sound but slow, with this estimated time to the first event
// and this longest recent pause between events.
func attemptEventGap(route *fleet.Route, firstEvent, pause time.Duration) time.Duration {
	limit := maxEventGap(route)
	slow := time.Duration(slowWorkFactor * float64(max(firstEvent, pause)))
	return max(limit, min(maxGapFactor*limit, slow))
}

// stallDetector cancels an attempt or a load that stalls, so that the request can
// go to another upstream. It is meant for frozen machines: connections to an
// engine there stay open and accept requests, but the response comes seconds later.
type stallDetector struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// lastDataAt is the time of the last byte, in Unix nanoseconds.
	lastDataAt atomic.Int64
	// lastEventAt is the time of the last complete event, in Unix nanoseconds, and
	// maxEventGap the longest time without one. Bytes that complete no event are no
	// progress. The gap is 0 for a load.
	lastEventAt atomic.Int64
	maxEventGap time.Duration
	// responseTimer limits the time to the response header and between parts of the
	// body to responseTimeout; it is nil except for idempotent requests without a
	// model. bodyBytes counts the body since it was last reset.
	responseTimer   *time.Timer
	responseTimeout time.Duration
	bodyBytes       int
}

// newStallDetector returns a detector for the attempt of the ticket. It cancels nothing if the request may not run again elsewhere.
func (r *request) newStallDetector(ctx context.Context, upstreamID string, ticket *upstream.Ticket) *stallDetector {
	d := &stallDetector{}
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	if !r.route.Retryable() || r.possibleRuns+1 >= r.route.MaxAttempts {
		return d
	}
	if r.query.Model == "" && r.route.Kind == fleet.Idempotent {
		d.responseTimeout = responseTimeout(r.remaining(), ticket.TypicalWork())
		d.responseTimer = time.AfterFunc(d.responseTimeout, func() { d.cancel(errStalled) })
		return d
	}
	d.maxEventGap = attemptEventGap(r.route, r.progress.estimate.Total(), ticket.LongestPause())
	d.eventReceived()
	d.dataReceived()
	r.monitor(d, upstreamID)
	return d
}

// newLoadStallDetector returns a detector for a load at the upstream with the
// given id.
func (r *request) newLoadStallDetector(ctx context.Context, upstreamID string) *stallDetector {
	d := &stallDetector{}
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	d.dataReceived()
	r.monitor(d, upstreamID)
	return d
}

func (r *request) monitor(d *stallDetector, upstreamID string) {
	background.Go(r.g.Logger, "stall detector", func() {
		d.monitor(func() bool { return r.g.Pool.Unresponsive(upstreamID) })
	})
}

// monitor cancels the attempt when no data has come for stallTimeout and the
// upstream is unresponsive, or when no event has come for maxEventGap.
func (d *stallDetector) monitor(unresponsive func() bool) {
	t := time.NewTicker(stallCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
			silent := since(&d.lastDataAt) > stallTimeout && unresponsive()
			if silent || d.maxEventGap > 0 && since(&d.lastEventAt) > d.maxEventGap {
				d.cancel(errStalled)
			}
		}
	}
}

func since(unixNano *atomic.Int64) time.Duration {
	return time.Since(time.Unix(0, unixNano.Load()))
}

func (d *stallDetector) dataReceived()  { d.lastDataAt.Store(time.Now().UnixNano()) }
func (d *stallDetector) eventReceived() { d.lastEventAt.Store(time.Now().UnixNano()) }

func (d *stallDetector) headerReceived() {
	d.dataReceived()
	d.restartResponseTimer()
}

// bodyReceived records n bytes of a buffered body.
func (d *stallDetector) bodyReceived(n int) {
	if n == 0 {
		return
	}
	d.dataReceived()
	if d.bodyBytes += n; d.bodyBytes >= minProgressBytes {
		d.bodyBytes = 0
		d.restartResponseTimer()
	}
}

func (d *stallDetector) restartResponseTimer() {
	if d.responseTimer != nil {
		d.responseTimer.Reset(d.responseTimeout)
	}
}

func (d *stallDetector) stop() {
	if d.responseTimer != nil {
		d.responseTimer.Stop()
	}
	d.cancel(nil)
}

// stalled reports whether the detector cancelled the attempt.
func (d *stallDetector) stalled() bool { return errors.Is(context.Cause(d.ctx), errStalled) }
