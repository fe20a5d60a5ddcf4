package relay

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// logAnswer is the outcome of one log read.
type logAnswer struct {
	number int
	sent   freshness.MonoTime
	page   platform.Page
	err    error
}

// readLoop polls the log while this instance is a reader or has no usable
// peer. A read that stays unanswered does not hold up the next one: its
// connection may be silent (F11), or the log slow (F6), and a slow answer is
// still needed to tell a slow log from one that is out.
func (r *Relay) readLoop(ctx context.Context) {
	answers := make(chan logAnswer, pendingReads)
	pending, newest := 0, 0
	// A function timer and not a timer channel: Go 1.26's race detector crashes
	// in a synctest bubble when a select meets a timer channel that is due.
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
		case a := <-answers:
			pending--
			again := r.takeLogAnswer(ctx, a)
			if a.number == newest {
				timer.Reset(again)
			}
		case <-due:
			timer.Reset(idleCheck)
			if pending < pendingReads && r.mayReadLog() {
				r.startFromSnapshot(ctx)
				pending++
				newest++
				r.startRead(ctx, newest, answers)
				timer.Reset(LogOverlap)
			}
		}
	}
}

// mayReadLog limits the reads of an instance that is no reader, except while it
// catches up: limited as well, it would fall behind a busy stream for good.
func (r *Relay) mayReadLog() bool {
	if r.isReader() {
		return true
	}
	return r.direct.Load() && (r.behind || r.directLimit.Allow())
}

func (r *Relay) startRead(ctx context.Context, number int, answers chan<- logAnswer) {
	r.health.ReadStarted(number)
	r.wg.Go(func() {
		readCtx, cancel := context.WithTimeout(ctx, LogReadTimeout)
		defer cancel()
		a := logAnswer{number: number, sent: r.cfg.Tracker.Now()}
		a.page, a.err = r.cfg.Log.Read(readCtx, record.ControlStream, r.offset(), r.cfg.AnswerRecords, LogPollWait)
		answers <- a
	})
}

// takeLogAnswer folds the records and returns the pause before the next read.
// The age counts from when the read was sent.
func (r *Relay) takeLogAnswer(ctx context.Context, a logAnswer) time.Duration {
	r.health.ReadEnded(a.number, outcomeOf(a.err))
	if isExpired(a.err) {
		return r.recover(ctx)
	}
	if a.err != nil {
		r.behind = false
		return LogRetry
	}
	r.learn(a.page.End)
	r.ingest(a.page.Records)
	r.behind = r.offset() < a.page.End
	if r.reached(a.page.End) {
		r.cfg.Tracker.RecordComplete(a.sent)
		r.changed.broadcast()
	}
	return 0
}

func isExpired(err error) bool {
	var expired *platform.ExpiredError
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

// startFromSnapshot spares an empty view the reading of the whole stream. It
// is tried once; without a snapshot the stream is read from its start.
func (r *Relay) startFromSnapshot(ctx context.Context) {
	if r.started {
		return
	}
	r.started = true
	if r.offset() == 0 {
		r.restoreNewest(ctx)
	}
}

func (r *Relay) restoreNewest(ctx context.Context) bool {
	if r.cfg.Recover == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, SnapshotTimeout)
	defer cancel()
	v, err := r.cfg.Recover(ctx)
	return err == nil && r.restore(v)
}

// recover replaces a view that the log no longer continues (F17): by the
// newest snapshot of the log, or else by a peer's records or view.
func (r *Relay) recover(ctx context.Context) time.Duration {
	if r.restoreNewest(ctx) {
		return 0
	}
	before := r.offset()
	for _, addr := range r.sources() {
		r.pullOnce(ctx, addr, 0)
		if r.offset() > before {
			return 0
		}
	}
	return r.jitter(LogRetry)
}
