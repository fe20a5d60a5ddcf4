package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// errStalled ends an attempt at an upstream from which nothing comes.
var errStalled = errors.New("nothing comes from the upstream")

// Figures of attempts that are given up in favour of another upstream.
const (
	// stallPoll is how often an attempt is looked at.
	stallPoll = 150 * time.Millisecond
	// stallQuiet is how long nothing may have come of the answer before an
	// upstream that is silent to everyone is left.
	stallQuiet = 450 * time.Millisecond
	// plainShare of the time left is what a repeatable request without a model
	// gives its first upstream. The work takes a tenth of the timeout.
	plainShare = 0.5
)

// watch gives up an attempt that stalls, if the request may run elsewhere. It
// answers machines that stand still: their engines keep connections open and
// take requests that they answer seconds later.
type watch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// heard is the time of the last byte, in Unix nanoseconds.
	heard atomic.Int64
	// head bounds the time to the head of a plain answer; it may be nil.
	head *time.Timer
}

// newWatch returns a watch over an attempt at the upstream called id.
func (x *call) newWatch(ctx context.Context, id string) *watch {
	w := &watch{}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if !x.route.Retryable() || x.ran+1 >= x.route.MaxAttempts {
		return w
	}
	if x.query.Model == "" && x.route.Kind == fleet.Idempotent {
		w.head = time.AfterFunc(time.Duration(plainShare*float64(x.left())), func() { w.cancel(errStalled) })
		return w
	}
	w.note()
	go w.run(func() bool { return x.g.Pool.Silent(id) })
	return w
}

// newLoadWatch returns a watch over a load at the upstream called id.
func (x *call) newLoadWatch(ctx context.Context, id string) *watch {
	w := &watch{}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.note()
	go w.run(func() bool { return x.g.Pool.Silent(id) })
	return w
}

// run gives the attempt up when nothing has come and the upstream is silent.
func (w *watch) run(silent func() bool) {
	t := time.NewTicker(stallPoll)
	defer t.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-t.C:
			if time.Since(time.Unix(0, w.heard.Load())) > stallQuiet && silent() {
				w.cancel(errStalled)
			}
		}
	}
}

// note records that something came.
func (w *watch) note() { w.heard.Store(time.Now().UnixNano()) }

// headCame ends the bound on the head.
func (w *watch) headCame() {
	w.note()
	if w.head != nil {
		w.head.Stop()
	}
}

func (w *watch) stop() {
	if w.head != nil {
		w.head.Stop()
	}
	w.cancel(nil)
}

// stalled reports whether the watch gave the attempt up.
func (w *watch) stalled() bool { return errors.Is(context.Cause(w.ctx), errStalled) }
