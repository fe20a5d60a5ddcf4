package once

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// appendTries is the number of appends of one batch whose entries do not show
// up in the stream. A third failure in a row is an outage.
const appendTries = 3

// partition is the writer of one partition stream. Its fold belongs to the
// goroutine that runs it.
type partition struct {
	source
	ids     *ids
	queue   chan *item
	limiter *rate.Limiter
	fold    *Fold
	plan    snapshotPlan
	counts  counts
}

func newPartition(src source, ids *ids) *partition {
	return &partition{
		source:  src,
		ids:     ids,
		queue:   make(chan *item, src.opts.QueueEntries),
		limiter: rate.NewLimiter(rate.Limit(src.opts.AppendsPerS), max(1, int(src.opts.AppendsPerS))),
	}
}

// ask queues a request and waits for its answer.
func (p *partition) ask(ctx context.Context, id Identity, r *Record) (StateAnswer, error) {
	it, err := newItem(ctx, id, r)
	if err != nil {
		return StateAnswer{}, err
	}
	select {
	case p.queue <- it:
	default:
		return StateAnswer{}, errkind.New(errkind.LogUnavailable, "the writer's queue is full").WithRetryAfter(time.Second)
	}
	select {
	case got := <-it.done:
		return got.answer, got.err
	case <-ctx.Done():
		return StateAnswer{}, errkind.Wrap(errkind.LogUnavailable, "the log did not take the record in time", ctx.Err())
	}
}

// run serves the queue until ctx is done. keep tells whether this instance is
// the first candidate, which writes the snapshots.
func (p *partition) run(ctx context.Context, keep func() bool) {
	tick := time.NewTicker(max(p.opts.SnapshotEvery/8, time.Millisecond))
	defer tick.Stop()
	used := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case it := <-p.queue:
			used = time.Now()
			p.commit(ctx, p.collect(ctx, it))
			p.startSnapshot()
		case <-tick.C:
			p.maintain(ctx, keep(), time.Since(used))
		}
		p.continueSnapshot(ctx)
		p.counts.observe(p.fold)
	}
}

// collect waits for the window to pass or the batch to fill. While the append
// limit allows no append yet, it goes on collecting.
func (p *partition) collect(ctx context.Context, first *item) *batch {
	b := &batch{}
	b.add(first)
	timer := time.NewTimer(max(p.opts.Window, p.untilAppend()))
	defer timer.Stop()
	for !b.full(p.opts) {
		select {
		case it := <-p.queue:
			b.add(it)
		case <-timer.C:
			return b
		case <-ctx.Done():
			return b
		}
	}
	return b
}

// untilAppend returns the time until the limit allows the next append.
func (p *partition) untilAppend() time.Duration {
	missing := 1 - p.limiter.Tokens()
	return time.Duration(missing / p.opts.AppendsPerS * float64(time.Second))
}

// commit appends the batch, reads the stream back and answers each item from
// the fold. The order of the stream decides, so other writers do no harm.
func (p *partition) commit(ctx context.Context, b *batch) {
	if err := p.ensureLoaded(ctx); err != nil {
		p.refuse(b.items, err)
		return
	}
	open := b.split(p.fold, &p.source)
	var err error
	for try := 0; try < appendTries && len(open) > 0 && ctx.Err() == nil; try++ {
		if open, err = p.attempt(ctx, open); err != nil {
			p.counts.retries.Add(1)
			p.pause(ctx, try)
		}
	}
	p.refuse(open, err)
}

// attempt appends the open items once and returns those still open. After a
// lost answer the items that took effect are found in the stream.
func (p *partition) attempt(ctx context.Context, open []*item) ([]*item, error) {
	if err := p.ensureLoaded(ctx); err != nil {
		return open, err
	}
	entries := entriesOf(open)
	var appendErr error
	if len(entries) > 0 {
		if err := p.limiter.Wait(ctx); err != nil {
			return open, err
		}
		p.hooks.reach(StepWriterBeforeAppend)
		p.counts.appends.Add(1)
		p.counts.entries.Add(uint64(len(entries)))
		appendErr = p.append(ctx, entries)
		p.hooks.reach(StepWriterAfterAppend)
	}
	present := make(map[string]bool)
	err := p.catchUp(ctx, p.fold, func(r Record) {
		p.plan.records++
		present[r.ID] = true
	})
	if err != nil {
		p.readFailed(err)
		return open, err
	}
	p.hooks.reach(StepWriterAfterReadBack)
	var rest []*item
	for _, it := range open {
		if it.record == nil || present[it.record.ID] || it.decided(p.fold) {
			it.settle(p.fold, &p.source)
			continue
		}
		rest = append(rest, it)
	}
	return rest, appendErr
}

func (p *partition) ensureLoaded(ctx context.Context) error {
	if p.fold != nil {
		return nil
	}
	f, err := p.load(ctx)
	if err != nil {
		return err
	}
	p.fold = f
	p.plan = snapshotPlan{due: time.Now().Add(p.opts.SnapshotEvery)}
	return nil
}

// readFailed drops a fold that can no longer catch up, because records expired
// before this reader saw them (F17). After any other failure the fold is still a
// correct prefix.
func (p *partition) readFailed(err error) {
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		p.fold = nil
	}
}

// pause doubles from one window, without jitter: one writer uses a partition.
func (p *partition) pause(ctx context.Context, try int) {
	timer := time.NewTimer(p.opts.Window << try)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// refuse answers without the log. A finished call is final, so its state may
// still be given.
func (p *partition) refuse(items []*item, cause error) {
	for _, it := range items {
		if p.fold != nil && p.fold.states[it.identity].Phase == PhaseFinished {
			it.settle(p.fold, &p.source)
			continue
		}
		p.counts.refused.Add(1)
		it.fail(errkind.Wrap(errkind.LogUnavailable, "the log does not take the record of the call", cause).WithRetryAfter(time.Second))
	}
}
