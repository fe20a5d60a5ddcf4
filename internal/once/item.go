package once

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// reply is the answer to one item.
type reply struct {
	answer StateResponse
	err    error
}

// item is one request that waits at a partition. Its record is nil for a
// status look-up, which only reads.
type item struct {
	ctx      context.Context
	identity CallID
	record   *Record
	data     json.RawMessage
	done     chan reply
}

func newItem(ctx context.Context, id CallID, r *Record) (*item, error) {
	it := &item{ctx: ctx, identity: id, record: r, done: make(chan reply, 1)}
	if r == nil {
		return it, nil
	}
	data, err := r.Encode()
	it.data = data
	return it, err
}

// decided reports whether an append could no longer change the state for it.
func (it *item) decided(f *Fold) bool {
	if it.record == nil || f.Blind(it.identity) {
		return true
	}
	s, known := f.Get(it.identity)
	switch it.record.Kind {
	case RecordIntent:
		return known && s.Phase != PhaseNotRun && !f.hooks.lastIntentWins
	case RecordSupersede:
		return known && (s.Phase != PhaseRunning || s.Attempt != it.record.Old)
	default:
		return known && (s.Phase != PhaseRunning || s.Attempt != it.record.Attempt)
	}
}

// settle answers the item from a fold that has read past its record.
func (it *item) settle(f *Fold, src *source) {
	if f.Blind(it.identity) {
		it.fail(errkind.New(errkind.OutcomeUnknown, "the records of calls as old as this one were lost"))
		return
	}
	s, known := f.Get(it.identity)
	if known && it.differs(s, src.hooks) {
		it.fail(errkind.New(errkind.KeyReused, "the Idempotency-Key belongs to a different request"))
		return
	}
	if err := it.expired(src); err != nil {
		it.fail(err)
		return
	}
	it.done <- reply{answer: StateResponse{State: s, Known: known}}
}

func (it *item) differs(s CallState, h *hooks) bool {
	return it.record != nil && it.record.Digest != s.Digest && !h.ignoreDigest
}

// expired is checked after the read-back: a writer that was paused before its
// append must not let an intent win whose earlier record has been pruned. Folds
// keep an identity for the window + 4 Skew, so the check refuses it first.
func (it *item) expired(src *source) error {
	if it.record == nil || it.record.Kind == RecordResult || src.hooks.ignoreExpiry {
		return nil
	}
	return CheckKey(it.identity.Key, time.Now(), src.window()+src.opts.Skew, 2*src.opts.Skew)
}

func (it *item) fail(err error) { it.done <- reply{err: err} }
