package relay

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// logReadResult is the outcome of one log read.
type logReadResult struct {
	number int
	sent   freshness.MonoTime
	page   backing.Page
	err    error
}

// readLoop polls the log while this instance is a reader or has no usable peer.
// It starts the next read even if the previous one is still unanswered, because
// that connection may be dead without an error (F11) or the log slow (F6). It
// keeps waiting for slow reads, since their results distinguish a slow log from
// one that is down.
func (r *Relay) readLoop(ctx context.Context) {
	results := make(chan logReadResult, maxPendingReads)
	pending, newest := 0, 0
	// Uses time.AfterFunc instead of a timer channel: the race detector of Go
	// 1.26 crashes in a synctest bubble when a select meets a timer channel
	// that is due.
	due := make(chan struct{}, 1)
	timer := time.AfterFunc(0, func() {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case res := <-results:
			pending--
			delay := r.handleLogRead(ctx, res)
			if res.number == newest {
				timer.Reset(delay)
			}
		case <-due:
			timer.Reset(idleCheckInterval)
			if pending < maxPendingReads && r.mayReadLog() {
				r.tryInitialSnapshot(ctx)
				pending++
				newest++
				r.startRead(ctx, newest, results)
				timer.Reset(LogReadHedgeDelay)
			}
		}
	}
}

// mayReadLog rate-limits the log reads of an instance that is not a reader.
// There is no limit while the instance is behind the log, because with one it
// would never catch up with a busy stream.
func (r *Relay) mayReadLog() bool {
	if r.isReader() {
		return true
	}
	return r.readDirectly.Load() && (r.behindLog || r.directReadLimiter.Allow())
}

func (r *Relay) startRead(ctx context.Context, number int, results chan<- logReadResult) {
	r.health.ReadStarted(number)
	r.wg.Go(func() {
		readCtx, cancel := context.WithTimeout(ctx, LogReadTimeout)
		defer cancel()
		res := logReadResult{number: number, sent: r.cfg.Tracker.Now()}
		res.page, res.err = r.cfg.Log.Read(readCtx, record.ControlStream, r.offset(), r.cfg.ResponseRecords, LogPollWait)
		results <- res
	})
}

// handleLogRead folds the records of a log read and returns the delay before
// the next one. The view age is measured from when the read was sent.
func (r *Relay) handleLogRead(ctx context.Context, res logReadResult) time.Duration {
	r.health.ReadEnded(res.number, outcomeOf(res.err))
	if isExpired(res.err) {
		return r.recoverView(ctx)
	}
	if res.err != nil {
		r.behindLog = false
		return LogRetryDelay
	}
	r.observeOffset(res.page.End)
	r.ingest(res.page.Records)
	r.behindLog = r.offset() < res.page.End
	if r.reached(res.page.End) {
		r.cfg.Tracker.RecordComplete(res.sent)
		r.changed.broadcast()
	}
	return 0
}

func isExpired(err error) bool {
	var expired *backing.ExpiredError
	return errors.As(err, &expired)
}

func outcomeOf(err error) freshness.ReadOutcome {
	switch {
	case err == nil, isExpired(err):
		return freshness.Answered
	case errors.Is(err, context.DeadlineExceeded):
		return freshness.TimedOut
	default:
		return freshness.Failed
	}
}

// tryInitialSnapshot restores the newest snapshot into an empty view, which
// avoids reading the whole stream. It tries once per process; without a
// snapshot, reading begins at the start of the stream.
func (r *Relay) tryInitialSnapshot(ctx context.Context) {
	if r.snapshotTried {
		return
	}
	r.snapshotTried = true
	if r.offset() == 0 {
		r.restoreNewestSnapshot(ctx)
	}
}

func (r *Relay) restoreNewestSnapshot(ctx context.Context) bool {
	if r.cfg.NewestSnapshot == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, SnapshotTimeout)
	defer cancel()
	v, err := r.cfg.NewestSnapshot(ctx)
	return err == nil && r.restore(v)
}

// recoverView catches up a view whose next record has expired from the log
// (F17). It restores the newest snapshot in the log or, if that fails, gets
// records or the whole view from a peer. It returns the delay before the next
// log read.
func (r *Relay) recoverView(ctx context.Context) time.Duration {
	if r.restoreNewestSnapshot(ctx) {
		return 0
	}
	before := r.offset()
	for _, addr := range r.sources() {
		r.pullOnce(ctx, addr, 0)
		if r.offset() > before {
			return 0
		}
	}
	return r.jitter(LogRetryDelay)
}
