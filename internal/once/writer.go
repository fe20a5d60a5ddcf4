package once

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Writer serves the partitions of one entry instance. Any instance answers
// correctly for any partition; the first candidate of the view is asked first.
// It implements the receiving side of Peer.
type Writer struct {
	opts       Options
	partitions []*partition
	ids        *ids
	ranks      *ranks
	views      Views
	self       record.InstanceRef
}

// NewWriter returns the writer of the entry instance self. Random is the source
// of the ids of records.
func NewWriter(log platform.Log, views Views, self record.InstanceRef, opts Options, random io.Reader) *Writer {
	return newWriter(log, views, self, opts, random, &hooks{})
}

func newWriter(log platform.Log, views Views, self record.InstanceRef, opts Options, random io.Reader, h *hooks) *Writer {
	opts = opts.WithDefaults()
	w := &Writer{opts: opts, ids: &ids{random: random}, ranks: newRanks(opts.Partitions), views: views, self: self}
	for i := range opts.Partitions {
		src := source{log: log, stream: Stream(i), opts: opts, hooks: h, window: w.window}
		w.partitions = append(w.partitions, newPartition(src, w.ids))
	}
	return w
}

// Run serves all partitions until ctx is done.
func (w *Writer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i, p := range w.partitions {
		wg.Go(func() { p.run(ctx, func() bool { return w.first(i) }) })
	}
	wg.Wait()
}

// first reports whether this instance is the first candidate of a partition.
func (w *Writer) first(partition int) bool {
	list := w.ranks.of(w.views.View(), partition)
	return len(list) > 0 && list[0].Ref() == w.self
}

// Intent records the intent or, with Old set, supersedes a fenced attempt, and
// returns the state that the log decided. Errors: invalid_request,
// key_expired, key_reused, outcome_unknown, log_unavailable. After an error the
// record may exist; the attempt must not be dispatched.
func (w *Writer) Intent(ctx context.Context, req IntentRequest) (StateAnswer, error) {
	p := w.partition(req.Identity)
	if !p.hooks.ignoreExpiry {
		if err := CheckKey(req.Key, time.Now(), w.window()+w.opts.Skew, 2*w.opts.Skew); err != nil {
			return StateAnswer{}, err
		}
	}
	if req.Attempt == "" {
		return StateAnswer{}, errkind.New(errkind.InvalidRequest, "the intent names no attempt")
	}
	r := &Record{
		ID:       w.ids.next(),
		Kind:     RecordIntent,
		Identity: req.Identity,
		Digest:   req.Digest,
		Attempt:  req.Attempt,
		Old:      req.Old,
		Target:   req.Target,
		Author:   req.Author,
	}
	if req.Old != "" {
		r.Kind = RecordSupersede
	}
	return p.ask(ctx, req.Identity, r)
}

// Result records the result of an attempt, or without a result that the
// attempt was fenced. The first record for an attempt wins.
func (w *Writer) Result(ctx context.Context, req ResultRequest) (StateAnswer, error) {
	r := &Record{
		ID:       w.ids.next(),
		Kind:     RecordResult,
		Identity: req.Identity,
		Digest:   req.Digest,
		Attempt:  req.Attempt,
		Result:   req.Result,
	}
	if req.Result == nil {
		r.Kind = RecordSupersede
		r.Old = req.Attempt
		r.Attempt = ""
	}
	return w.partition(req.Identity).ask(ctx, req.Identity, r)
}

// Status returns the state of an identity after reading the stream to its end.
func (w *Writer) Status(ctx context.Context, req StatusRequest) (StateAnswer, error) {
	return w.partition(req.Identity).ask(ctx, req.Identity, nil)
}

func (w *Writer) window() time.Duration { return window(w.views, w.opts) }

func (w *Writer) partition(id Identity) *partition {
	return w.partitions[id.Partition(w.opts.Partitions)]
}
