package duty

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

const (
	// logTimeout bounds a call to the log. A healthy one answers within 10 ms.
	logTimeout = time.Second
	// The pause after a failed call to the log doubles from minLogPause up to that of the holder or
	// of the others. Candidates wait longer because there are many.
	minLogPause       = 250 * time.Millisecond
	maxHolderLogPause = time.Second
	maxOtherLogPause  = 4 * time.Second
)

// read reads the log to its end. If this instance has the duty, that verifies its claim.
func (r *Reporter) read(ctx context.Context) {
	began, now := r.Clock.Boot(), r.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := r.readPage(callCtx); err != nil {
		r.logFailed("read", err)
		return
	}
	r.Stats.countLogCall("read", resultOK)
	r.logPause, r.uncertain, r.readAt = 0, false, now
	r.SetEra(r.ledger.Next.Era)
	r.logRead(began)
}

// readPage reads what follows the known records, or lists the newest ones if that is not possible.
func (r *Reporter) readPage(ctx context.Context) error {
	if r.ledger.Known {
		page, err := r.Log.Read(ctx, r.ledger.Next)
		if err != nil && !errors.Is(err, topicwatch.ErrExpired) {
			return err
		}
		if err == nil && page.Era == r.ledger.Next.Era {
			r.ledger.add(page)
			return nil
		}
	}
	page, err := r.Log.List(ctx)
	if err != nil {
		return err
	}
	r.ledger.replace(page)
	return nil
}

// logRead follows up a call that began at boot time began and after which the log has been read to
// its end.
func (r *Reporter) logRead(began time.Duration) {
	now := r.Clock.Now()
	for window, report := range r.ledger.Reports {
		if r.current(window, now) {
			r.seen[window] = report
		}
	}
	r.Stats.lastWindow.Store(r.ledger.Last)
	if r.ledger.heldBy(r.Self, r.Start) {
		r.verifiedAt = began
		return
	}
	if r.wasHolder && r.ledger.claimed() {
		r.Logger.Warn("lost the duty", zap.String("holder", r.ledger.Claim.Holder), zap.Int64("token", r.ledger.Claim.Token))
		r.wasHolder = false
		r.newOrders = nil
		clear(r.unsentOrders)
		r.Stats.token.Store(0)
		r.stopCollecting()
	}
}

func (r *Reporter) logFailed(call string, err error) {
	result, longest := resultFailed, maxOtherLogPause
	if errors.Is(err, topicwatch.ErrEndMoved) {
		result = resultMoved
	}
	r.Stats.countLogCall(call, result)
	if r.wasHolder {
		longest = maxHolderLogPause
	}
	r.logPause = min(longest, max(minLogPause, 2*r.logPause))
	r.logFrom = r.Clock.Boot() + r.logPause
	r.Logger.Warn("call to the log of duties failed", zap.String("call", call), zap.Bool("holder", r.wasHolder), zap.Duration("retry_after", r.logPause), telemetry.Err(err))
}

// append appends a record after all that has been read. It reports whether the record is in the log;
// if not, or if that is unknown, the log is read again first.
func (r *Reporter) append(ctx context.Context, call, key string, rec record) (topicwatch.Position, bool) {
	rec.Holder, rec.Start, rec.Era, rec.AtMS = r.Self, r.Start, r.ledger.Next.Era, r.Clock.Now().UnixMilli()
	value, err := json.Marshal(rec)
	if err != nil {
		r.Logger.Error("cannot encode a record of duties", telemetry.Err(err))
		r.logFrom = r.Clock.Boot() + maxHolderLogPause
		return topicwatch.Position{}, false
	}
	began := r.Clock.Boot()
	callCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	at := r.ledger.Next
	position, err := r.Log.Append(callCtx, key, value, at.Offset)
	if errors.Is(err, topicwatch.ErrEndMoved) {
		// Another record has been written: that is no failure of the log.
		r.Stats.countLogCall(call, resultMoved)
		r.read(ctx)
		return topicwatch.Position{}, false
	}
	if err != nil {
		r.uncertain = true
		r.logFailed(call, err)
		return topicwatch.Position{}, false
	}
	if position.Era != at.Era || position.Offset != at.Offset {
		// The log has come back from a copy: this instance does not know all records before.
		r.SetEra(position.Era)
		r.uncertain = true
		r.Logger.Warn("record of duties was appended elsewhere, reading the log again", zap.Int64("era", position.Era), zap.Int64("offset", position.Offset))
		return topicwatch.Position{}, false
	}
	r.Stats.countLogCall(call, resultOK)
	r.logPause, r.readAt = 0, r.Clock.Now()
	r.ledger.add(topicwatch.Page{Era: at.Era, Next: position.Offset + 1, Items: []topicwatch.Item{{Key: key, Value: value, Offset: position.Offset}}})
	r.logRead(began)
	return position, true
}

// claim claims the duty. Reports begin with window from at the earliest.
func (r *Reporter) claim(ctx context.Context, from int64) {
	before := r.ledger.Claim
	position, ok := r.append(ctx, "claim", claimKey, record{From: from})
	if !ok {
		return
	}
	now, boot := r.Clock.Now(), r.Clock.Boot()
	r.actFrom = boot + r.Bounds.Lease
	// An earlier start of this instance needs no time to stop, but it may not have waited for the
	// holder before it.
	if before.Holder == r.Self && before.Era == position.Era && now.Sub(before.At) > r.Bounds.Lease {
		r.actFrom = boot
	}
	r.wasHolder = true
	// The holder before may not have sent the last orders.
	maps.Copy(r.unsentOrders, r.ledger.Orders)
	r.Stats.claims.Inc()
	r.Stats.token.Store(r.ledger.Claim.Token)
	r.Logger.Info("claimed the duty", zap.Int64("token", r.ledger.Claim.Token), zap.String("before", before.Holder), zap.Int64("last_window", r.ledger.Last), zap.Int64("from", from), zap.Duration("acts_after", r.actFrom-boot))
	r.notify(ctx)
}
