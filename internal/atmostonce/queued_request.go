package atmostonce

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// reply is the response to one queued request.
type reply struct {
	response StateResponse
	err      error
}

// queuedRequest is one request that waits at a partition writer. Its record is
// nil for a status request, which only reads.
type queuedRequest struct {
	ctx    context.Context
	callID CallID
	record *Record
	data   json.RawMessage
	done   chan reply
}

func newQueuedRequest(ctx context.Context, id CallID, r *Record) (*queuedRequest, error) {
	q := &queuedRequest{ctx: ctx, callID: id, record: r, done: make(chan reply, 1)}
	if r == nil {
		return q, nil
	}
	data, err := r.Encode()
	q.data = data
	return q, err
}

// needsNoAppend reports whether appending the record would no longer change the
// state of the call.
func (q *queuedRequest) needsNoAppend(state *PartitionState) bool {
	if q.record == nil || state.RecordsMayBeLost(q.callID) {
		return true
	}
	s, known := state.Get(q.callID)
	switch q.record.Kind {
	case RecordIntent:
		return known && s.Phase != PhaseNotRun && !state.hooks.lastIntentWins
	case RecordSupersede:
		return known && (s.Phase != PhaseRunning || s.Attempt != q.record.OldAttempt)
	default:
		return known && (s.Phase != PhaseRunning || s.Attempt != q.record.Attempt)
	}
}

// respond answers the request from state. If the request's record was appended,
// state must already include it.
func (q *queuedRequest) respond(state *PartitionState, stream *partitionStream) {
	if state.RecordsMayBeLost(q.callID) {
		q.fail(errkind.New(errkind.OutcomeUnknown, "the records of calls as old as this one were lost"))
		return
	}
	s, known := state.Get(q.callID)
	if known && q.digestDiffers(s, stream.hooks) {
		q.fail(errkind.New(errkind.KeyReused, "the Idempotency-Key belongs to a different request"))
		return
	}
	if err := q.checkExpiry(stream); err != nil {
		q.fail(err)
		return
	}
	q.done <- reply{response: StateResponse{State: s, Known: known}}
}

func (q *queuedRequest) digestDiffers(s CallState, h *hooks) bool {
	return q.record != nil && q.record.Digest != s.Digest && !h.ignoreDigest
}

// checkExpiry runs after the stream has been read back. A writer that was paused
// before its append must not let an intent win if an earlier record of the same
// key has been pruned in the meantime. Partition states keep a call for the
// idempotency window plus 4 * MaxClockSkew, so this check refuses the key before
// the call is pruned.
func (q *queuedRequest) checkExpiry(stream *partitionStream) error {
	if q.record == nil || q.record.Kind == RecordResult || stream.hooks.ignoreExpiry {
		return nil
	}
	return CheckKey(q.callID.Key, time.Now(), stream.window()+stream.opts.MaxClockSkew, 2*stream.opts.MaxClockSkew)
}

func (q *queuedRequest) fail(err error) { q.done <- reply{err: err} }
