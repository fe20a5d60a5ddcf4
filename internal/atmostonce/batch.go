package atmostonce

import (
	"encoding/json"
	"time"
)

// batch is the group of requests whose records one append writes to the log.
type batch struct {
	requests []*queuedRequest
	bytes    int
}

func (b *batch) add(q *queuedRequest) {
	b.requests = append(b.requests, q)
	b.bytes += len(q.data)
}

// full reports whether the batch has reached the limit on entries or bytes. A
// batch exceeds BatchBytes by at most one record, which takes up to 22 KiB: the
// largest result body is 16 KiB, and JSON carries it in base64.
func (b *batch) full(o Options) bool {
	return len(b.requests) >= o.BatchEntries || b.bytes >= o.BatchBytes
}

// respondDecided answers the requests that need no append, because their
// context has ended or the state already determines the response. It returns
// the other requests.
func (b *batch) respondDecided(state *PartitionState, stream *partitionStream) []*queuedRequest {
	var pending []*queuedRequest
	for _, q := range b.requests {
		switch {
		case q.ctx.Err() != nil:
			q.fail(q.ctx.Err())
		case q.record != nil && q.needsNoAppend(state):
			q.respond(state, stream)
		default:
			pending = append(pending, q)
		}
	}
	return pending
}

func entriesOf(requests []*queuedRequest) []json.RawMessage {
	var out []json.RawMessage
	for _, q := range requests {
		if q.record != nil {
			out = append(out, q.data)
		}
	}
	return out
}

// snapshotPlan holds the chunks of the current snapshot that are still to be
// appended, and what triggers the next snapshot.
type snapshotPlan struct {
	chunks []json.RawMessage
	// due is the time at which the next snapshot starts. records is the number of
	// records read since the last snapshot started.
	due     time.Time
	records int
}
