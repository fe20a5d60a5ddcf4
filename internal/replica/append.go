package replica

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Pauses between repeated appends of one record, and the time that one append
// may take.
const (
	appendTimeout  = 2 * time.Second
	appendPauseMin = 100 * time.Millisecond
	appendPauseMax = 2 * time.Second
)

// ErrOutcomeUnknown means that an append may have taken effect.
var ErrOutcomeUnknown = errors.New("outcome of the append is unknown")

// Append adds a decision to the control stream under this instance's name. See
// AppendAs.
func (p *Replica) Append(ctx context.Context, body record.Body) (fold.ApplyResult, platform.Offset, error) {
	return p.AppendAs(ctx, p.cfg.Self.Instance, body)
}

// AppendAs adds a decision and returns its verdict and offset once the own view
// holds it. A lost answer is settled by reading on until the record's id is
// seen, and by repeating the append under the same id, which changes nothing
// if the first one took effect (F7).
//
// Errors: errkind.LogUnavailable when the view is not known to be complete (no
// decision may be appended on a confirmed outage) or when the log refused the
// append; ErrOutcomeUnknown when ctx ended first and the append may have taken
// effect.
func (p *Replica) AppendAs(ctx context.Context, author string, body record.Body) (fold.ApplyResult, platform.Offset, error) {
	if !p.tracker.MayDecide() {
		return fold.ApplyResult{}, 0, errkind.New(errkind.LogUnavailable, "the control stream cannot be read at present")
	}
	e, err := record.New(author, time.Now().UnixMilli(), body)
	if err != nil {
		return fold.ApplyResult{}, 0, err
	}
	data, err := e.Encode()
	if err != nil {
		return fold.ApplyResult{}, 0, err
	}
	folded := p.pending.expect(e.ID)
	defer p.pending.forget(e.ID)
	return p.settle(ctx, data, folded)
}

// settle appends until the record is folded, the log refuses it, or ctx ends.
func (p *Replica) settle(ctx context.Context, data json.RawMessage, folded <-chan outcome) (fold.ApplyResult, platform.Offset, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = appendPauseMin
	pauses.MaxInterval = appendPauseMax
	pauses.RandomizationFactor = 0
	ambiguous := false
	for {
		done, err := p.appendOnce(ctx, data)
		if errors.Is(err, platform.ErrRejected) && !ambiguous {
			return fold.ApplyResult{}, 0, errkind.Wrap(errkind.LogUnavailable, "the log refused the append", err)
		}
		ambiguous = ambiguous || err != nil
		pause := pauses.NextBackOff()
		if done {
			// The record exists; only reading on remains.
			pause = appendPauseMax
		}
		if o, ok := await(ctx, folded, pause); ok {
			return o.result()
		}
		if ctx.Err() != nil {
			return fold.ApplyResult{}, 0, errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
		}
	}
}

// appendOnce reports whether the log confirmed the append, and then hands the
// record to the relay.
func (p *Replica) appendOnce(ctx context.Context, data json.RawMessage) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := p.cfg.Log.Append(ctx, record.ControlStream, []json.RawMessage{data})
	if err != nil {
		return false, err
	}
	if !p.cfg.OfferOff {
		p.relay.Offer(platform.Record{Offset: offset, Data: data})
	}
	return true, nil
}

func await(ctx context.Context, folded <-chan outcome, d time.Duration) (outcome, bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case o := <-folded:
		return o, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return outcome{}, false
}

func (o outcome) result() (fold.ApplyResult, platform.Offset, error) {
	if o.lost {
		return fold.ApplyResult{}, 0, errors.Wrap(ErrOutcomeUnknown, "the view moved past the record to a snapshot")
	}
	return o.verdict, o.offset, nil
}
