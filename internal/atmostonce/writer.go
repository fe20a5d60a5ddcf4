package atmostonce

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Writer serves the requests of WriterClient at one entry instance, for all
// partitions. Any instance answers correctly for any partition; clients ask the
// first candidate in their view first.
type Writer struct {
	opts       Options
	partitions []*partitionWriter
	ids        *idGenerator
	candidates *candidateCache
	views      ViewSource
	self       record.InstanceRef
}

// NewWriter returns the writer of the entry instance self. Record ids are
// generated from random.
func NewWriter(log backing.Log, views ViewSource, self record.InstanceRef, opts Options, random io.Reader) *Writer {
	return newWriter(log, views, self, opts, random, &hooks{})
}

func newWriter(log backing.Log, views ViewSource, self record.InstanceRef, opts Options, random io.Reader, h *hooks) *Writer {
	opts = opts.WithDefaults()
	w := &Writer{opts: opts, ids: &idGenerator{random: random}, candidates: newCandidateCache(opts.Partitions), views: views, self: self}
	for i := range opts.Partitions {
		stream := partitionStream{log: log, stream: Stream(i), opts: opts, hooks: h, window: w.window}
		w.partitions = append(w.partitions, newPartitionWriter(stream, w.ids))
	}
	return w
}

// Run serves all partitions until ctx is done.
func (w *Writer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i, p := range w.partitions {
		wg.Go(func() { p.run(ctx, func() bool { return w.isFirstCandidate(i) }) })
	}
	wg.Wait()
}

// isFirstCandidate reports whether this instance is the first candidate of a partition.
func (w *Writer) isFirstCandidate(partition int) bool {
	list := w.candidates.forPartition(w.views.View(), partition)
	return len(list) > 0 && list[0].Ref() == w.self
}

// Intent records an intent or, if OldAttempt is set, replaces a fenced attempt.
// It returns the state of the call after that. Errors: invalid_request,
// key_expired, key_reused, outcome_unknown, log_unavailable. After an error the
// record may be in the log, but the attempt must not be dispatched.
func (w *Writer) Intent(ctx context.Context, req IntentRequest) (StateResponse, error) {
	p := w.partition(req.CallID)
	if !p.hooks.ignoreExpiry {
		if err := CheckKey(req.Key, time.Now(), w.window()+w.opts.MaxClockSkew, 2*w.opts.MaxClockSkew); err != nil {
			return StateResponse{}, err
		}
	}
	if req.Attempt == "" {
		return StateResponse{}, errkind.New(errkind.InvalidRequest, "the intent has no attempt id")
	}
	r := &Record{
		ID:         w.ids.next(),
		Kind:       RecordIntent,
		CallID:     req.CallID,
		Digest:     req.Digest,
		Attempt:    req.Attempt,
		OldAttempt: req.OldAttempt,
		Target:     req.Target,
		Author:     req.Author,
	}
	if req.OldAttempt != "" {
		r.Kind = RecordSupersede
	}
	return p.submit(ctx, req.CallID, r)
}

// Result records the result of an attempt or, if Result is nil, that the agent
// fenced the attempt. The first record for an attempt wins.
func (w *Writer) Result(ctx context.Context, req ResultRequest) (StateResponse, error) {
	r := &Record{
		ID:      w.ids.next(),
		Kind:    RecordResult,
		CallID:  req.CallID,
		Digest:  req.Digest,
		Attempt: req.Attempt,
		Result:  req.Result,
	}
	if req.Result == nil {
		r.Kind = RecordSupersede
		r.OldAttempt = req.Attempt
		r.Attempt = ""
	}
	return w.partition(req.CallID).submit(ctx, req.CallID, r)
}

// Status returns the state of a call after reading the stream to its end.
func (w *Writer) Status(ctx context.Context, req StatusRequest) (StateResponse, error) {
	return w.partition(req.CallID).submit(ctx, req.CallID, nil)
}

func (w *Writer) window() time.Duration { return idempotencyWindow(w.views, w.opts) }

func (w *Writer) partition(id CallID) *partitionWriter {
	return w.partitions[id.Partition(w.opts.Partitions)]
}
