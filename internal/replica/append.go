package replica

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// The time limit of one append call, and the limits of the backoff between
// repeated appends of the same record.
const (
	appendTimeout    = 2 * time.Second
	appendBackoffMin = 100 * time.Millisecond
	appendBackoffMax = 2 * time.Second
)

// ErrOutcomeUnknown means that an append may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("outcome of the append is unknown")

// Append appends a record to the control stream with this instance as its
// author. See AppendAs.
func (r *Replica) Append(ctx context.Context, body record.Body) (controlstate.ApplyResult, backing.Offset, error) {
	return r.AppendAs(ctx, r.cfg.Self.Instance, body)
}

// AppendAs appends a record by the given author to the control stream. It
// returns the result of applying the record and its offset once this instance's
// view includes the record. If the response to an append is lost, AppendAs waits
// for the record's id in the stream and repeats the append under the same id;
// the repetition has no effect if the first append took effect (F7).
//
// Errors: errkind.LogUnavailable when the view is not known to be complete (no
// record may be appended during a confirmed outage) or when the log refused the
// append; ErrOutcomeUnknown when ctx ended first and the append may have taken
// effect, or when a snapshot replaced the view before it reached the record.
func (r *Replica) AppendAs(ctx context.Context, author string, body record.Body) (controlstate.ApplyResult, backing.Offset, error) {
	if !r.tracker.MayDecide() {
		return controlstate.ApplyResult{}, 0, errkind.New(errkind.LogUnavailable, "cannot append: the view is not known to be complete")
	}
	e, err := record.New(author, time.Now().UnixMilli(), body)
	if err != nil {
		return controlstate.ApplyResult{}, 0, err
	}
	data, err := e.Encode()
	if err != nil {
		return controlstate.ApplyResult{}, 0, err
	}
	outcomes := r.pending.register(e.ID)
	defer r.pending.remove(e.ID)
	return r.appendUntilApplied(ctx, data, outcomes)
}

// appendUntilApplied repeats the append until the view includes the record, the
// log refuses the append, or ctx ends.
func (r *Replica) appendUntilApplied(ctx context.Context, data json.RawMessage, outcomes <-chan outcome) (controlstate.ApplyResult, backing.Offset, error) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = appendBackoffMin
	retryBackoff.MaxInterval = appendBackoffMax
	retryBackoff.RandomizationFactor = 0
	mayBeInLog := false
	for {
		confirmed, err := r.appendOnce(ctx, data)
		if errors.Is(err, backing.ErrRejected) && !mayBeInLog {
			return controlstate.ApplyResult{}, 0, errkind.Wrap(errkind.LogUnavailable, "the log refused the append", err)
		}
		mayBeInLog = mayBeInLog || err != nil
		wait := retryBackoff.NextBackOff()
		if confirmed {
			// The log has the record; the view only has to reach it.
			wait = appendBackoffMax
		}
		if o, ok := awaitOutcome(ctx, outcomes, wait); ok {
			return o.result()
		}
		if ctx.Err() != nil {
			return controlstate.ApplyResult{}, 0, errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
		}
	}
}

// appendOnce appends the record once and reports whether the log confirmed it.
// It passes a confirmed record on to the relay.
func (r *Replica) appendOnce(ctx context.Context, data json.RawMessage) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := r.cfg.Log.Append(ctx, record.ControlStream, []json.RawMessage{data})
	if err != nil {
		return false, err
	}
	if !r.cfg.DisableObserveAppend {
		r.relay.ObserveAppend(backing.Record{Offset: offset, Data: data})
	}
	return true, nil
}

func awaitOutcome(ctx context.Context, outcomes <-chan outcome, d time.Duration) (outcome, bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case o := <-outcomes:
		return o, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return outcome{}, false
}

func (o outcome) result() (controlstate.ApplyResult, backing.Offset, error) {
	if o.skipped {
		return controlstate.ApplyResult{}, 0, errors.Wrap(ErrOutcomeUnknown, "a snapshot replaced the view before it reached the record")
	}
	return o.verdict, o.offset, nil
}
