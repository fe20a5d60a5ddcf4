package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// errStalled is the reason for cancelling an attempt at an upstream that sends nothing.
var errStalled = errors.New("the upstream stalled: no data received in time")

// Timing of attempts that are cancelled in favour of another upstream.
const (
	stallCheckInterval = 150 * time.Millisecond
	// stallTimeout is how long an attempt may receive no data before it is
	// cancelled, if Pool.Unresponsive also reports its upstream.
	stallTimeout = 450 * time.Millisecond
	// headerTimeoutShare is the share of the remaining time within which an
	// idempotent request without a model must receive the response header, unless
	// it is the last attempt. Processing takes a tenth of the timeout.
	headerTimeoutShare = 0.5
)

// stallDetector cancels an attempt or a load that stalls, so that the request can
// go to another upstream. It is meant for frozen machines: connections to an
// engine there stay open and accept requests, but the response comes seconds later.
type stallDetector struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// lastDataAt is the time of the last byte, in Unix nanoseconds.
	lastDataAt atomic.Int64
	// headerTimer limits the time to the response header; it is nil except for
	// idempotent requests without a model.
	headerTimer *time.Timer
}

// newStallDetector returns a detector for an attempt at the upstream with the
// given id. It cancels nothing if the request may not run again elsewhere.
func (r *request) newStallDetector(ctx context.Context, upstreamID string) *stallDetector {
	d := &stallDetector{}
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	if !r.route.Retryable() || r.possibleRuns+1 >= r.route.MaxAttempts {
		return d
	}
	if r.query.Model == "" && r.route.Kind == fleet.Idempotent {
		d.headerTimer = time.AfterFunc(time.Duration(headerTimeoutShare*float64(r.remaining())), func() { d.cancel(errStalled) })
		return d
	}
	d.dataReceived()
	go d.monitor(func() bool { return r.g.Pool.Unresponsive(upstreamID) })
	return d
}

// newLoadStallDetector returns a detector for a load at the upstream with the
// given id.
func (r *request) newLoadStallDetector(ctx context.Context, upstreamID string) *stallDetector {
	d := &stallDetector{}
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	d.dataReceived()
	go d.monitor(func() bool { return r.g.Pool.Unresponsive(upstreamID) })
	return d
}

// monitor cancels the attempt when no data has come for stallTimeout and the
// upstream is unresponsive.
func (d *stallDetector) monitor(unresponsive func() bool) {
	t := time.NewTicker(stallCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
			if time.Since(time.Unix(0, d.lastDataAt.Load())) > stallTimeout && unresponsive() {
				d.cancel(errStalled)
			}
		}
	}
}

func (d *stallDetector) dataReceived() { d.lastDataAt.Store(time.Now().UnixNano()) }

// headerReceived records data and stops the header timer.
func (d *stallDetector) headerReceived() {
	d.dataReceived()
	if d.headerTimer != nil {
		d.headerTimer.Stop()
	}
}

func (d *stallDetector) stop() {
	if d.headerTimer != nil {
		d.headerTimer.Stop()
	}
	d.cancel(nil)
}

// stalled reports whether the detector cancelled the attempt.
func (d *stallDetector) stalled() bool { return errors.Is(context.Cause(d.ctx), errStalled) }
