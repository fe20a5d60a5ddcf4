package atmostonce

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// maxAppendTries is how often a batch is appended while its records do not appear
// in the stream. After that, its requests get log_unavailable.
const maxAppendTries = 3

// partitionWriter writes one partition stream. Only the goroutine that executes
// run uses state and plan.
type partitionWriter struct {
	partitionStream
	ids     *idGenerator
	queue   chan *queuedRequest
	limiter *rate.Limiter
	state   *PartitionState
	plan    snapshotPlan
	metrics partitionMetrics
}

func newPartitionWriter(stream partitionStream, ids *idGenerator) *partitionWriter {
	return &partitionWriter{
		partitionStream: stream,
		ids:             ids,
		queue:           make(chan *queuedRequest, stream.opts.QueueEntries),
		limiter:         rate.NewLimiter(rate.Limit(stream.opts.AppendsPerSecond), max(1, int(stream.opts.AppendsPerSecond))),
	}
}

// submit queues a request and waits for its response.
func (p *partitionWriter) submit(ctx context.Context, id CallID, r *Record) (StateResponse, error) {
	q, err := newQueuedRequest(ctx, id, r)
	if err != nil {
		return StateResponse{}, err
	}
	select {
	case p.queue <- q:
	default:
		return StateResponse{}, errkind.New(errkind.LogUnavailable, "the queue of the partition writer is full").WithRetryAfter(time.Second)
	}
	select {
	case got := <-q.done:
		return got.response, got.err
	case <-ctx.Done():
		return StateResponse{}, errkind.Wrap(errkind.LogUnavailable, "the partition writer did not answer in time", ctx.Err())
	}
}

// run serves the queue until ctx is done. isFirst reports whether this instance
// is the first candidate of the partition, which writes snapshots even without
// requests.
func (p *partitionWriter) run(ctx context.Context, isFirst func() bool) {
	tick := time.NewTicker(max(p.opts.SnapshotInterval/8, time.Millisecond))
	defer tick.Stop()
	lastRequest := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-p.queue:
			lastRequest = time.Now()
			p.commit(ctx, p.collect(ctx, q))
			p.startSnapshot()
		case <-tick.C:
			p.maintain(ctx, isFirst(), time.Since(lastRequest))
		}
		p.continueSnapshot(ctx)
		p.metrics.observe(p.state)
	}
}

// collect adds requests to a batch until BatchWindow has passed or the batch is
// full. It keeps collecting while the append limit allows no append yet.
func (p *partitionWriter) collect(ctx context.Context, first *queuedRequest) *batch {
	b := &batch{}
	b.add(first)
	timer := time.NewTimer(max(p.opts.BatchWindow, p.untilAppend()))
	defer timer.Stop()
	for !b.full(p.opts) {
		select {
		case q := <-p.queue:
			b.add(q)
		case <-timer.C:
			return b
		case <-ctx.Done():
			return b
		}
	}
	return b
}

// untilAppend returns the time until the rate limiter allows the next append.
func (p *partitionWriter) untilAppend() time.Duration {
	missingTokens := 1 - p.limiter.Tokens()
	return time.Duration(missingTokens / p.opts.AppendsPerSecond * float64(time.Second))
}

// commit appends the batch, reads the stream back, and answers each request from
// the resulting state. Other writers may append to the same stream meanwhile:
// the order in the stream decides which record wins.
func (p *partitionWriter) commit(ctx context.Context, b *batch) {
	if err := p.ensureLoaded(ctx); err != nil {
		p.refuse(b.requests, err)
		return
	}
	pending := b.respondDecided(p.state, &p.partitionStream)
	var err error
	for try := 0; try < maxAppendTries && len(pending) > 0 && ctx.Err() == nil; try++ {
		if pending, err = p.appendOnce(ctx, pending); err != nil {
			p.metrics.retries.Add(1)
			p.backOff(ctx, try)
		}
	}
	p.refuse(pending, err)
}

// appendOnce appends the pending requests once and returns those that are still
// pending. If the response to the append was lost, it finds the appended records
// when it reads the stream back.
func (p *partitionWriter) appendOnce(ctx context.Context, pending []*queuedRequest) ([]*queuedRequest, error) {
	if err := p.ensureLoaded(ctx); err != nil {
		return pending, err
	}
	entries := entriesOf(pending)
	var appendErr error
	if len(entries) > 0 {
		if err := p.limiter.Wait(ctx); err != nil {
			return pending, err
		}
		p.hooks.reach(StepWriterBeforeAppend)
		p.metrics.appends.Add(1)
		p.metrics.entries.Add(uint64(len(entries)))
		appendErr = p.append(ctx, entries)
		p.hooks.reach(StepWriterAfterAppend)
	}
	present := make(map[string]bool)
	err := p.catchUp(ctx, p.state, func(r Record) {
		p.plan.records++
		present[r.ID] = true
	})
	if err != nil {
		p.handleReadError(err)
		return pending, err
	}
	p.hooks.reach(StepWriterAfterReadBack)
	var rest []*queuedRequest
	for _, q := range pending {
		if q.record == nil || present[q.record.ID] || q.needsNoAppend(p.state) {
			q.respond(p.state, &p.partitionStream)
			continue
		}
		rest = append(rest, q)
	}
	return rest, appendErr
}

func (p *partitionWriter) ensureLoaded(ctx context.Context) error {
	if p.state != nil {
		return nil
	}
	state, err := p.load(ctx)
	if err != nil {
		return err
	}
	p.state = state
	p.plan = snapshotPlan{due: time.Now().Add(p.opts.SnapshotInterval)}
	return nil
}

// handleReadError discards a state that cannot catch up any more, because records
// expired before this writer read them (F17). After any other error the state
// still matches a prefix of the stream.
func (p *partitionWriter) handleReadError(err error) {
	var expired *backing.ExpiredError
	if errors.As(err, &expired) {
		p.state = nil
	}
}

// backOff waits for BatchWindow, doubled with each try. It needs no jitter,
// because normally only one writer uses a partition.
func (p *partitionWriter) backOff(ctx context.Context, try int) {
	timer := time.NewTimer(p.opts.BatchWindow << try)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// refuse answers requests that could not be recorded. The state of a finished
// call is final, so it may still be returned; the other requests get
// log_unavailable.
func (p *partitionWriter) refuse(requests []*queuedRequest, cause error) {
	for _, q := range requests {
		if p.state != nil && p.state.states[q.callID].Phase == PhaseFinished {
			q.respond(p.state, &p.partitionStream)
			continue
		}
		p.metrics.refused.Add(1)
		q.fail(errkind.Wrap(errkind.LogUnavailable, "the partition writer could not read or append to the log", cause).WithRetryAfter(time.Second))
	}
}
