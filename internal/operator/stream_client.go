package operator

import (
	"cmp"
	"context"
	"encoding/json"
	stderrors "errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jacinthbend/jacinthbend/internal/audit"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// StreamClient is a Stream outside the fleet: it folds the control stream
// straight from the log. Its methods are safe for concurrent use.
type StreamClient struct {
	log      platform.Log
	settings ClientSettings
	trail    *audit.Trail
	// pass is told of each step; tests kill the publisher there.
	pass func(Step)

	mu   sync.Mutex
	view *fold.View
	// remembered has the version of settings.Remember, nil until it was read.
	remembered *fold.View
	// skipped is the newest offset that the client jumped over by loading a
	// snapshot after it had started to read.
	skipped platform.Offset
	// watched maps the ids of records being settled to their first result.
	watched map[string]*settled
}

var _ Stream = (*StreamClient)(nil)

// NewStreamClient returns a client of the control stream in log. Call Refresh
// before the first use of its view.
func NewStreamClient(log platform.Log, settings ClientSettings) *StreamClient {
	settings.Name = cmp.Or(settings.Name, "cli")
	settings.PageRecords = cmp.Or(settings.PageRecords, 512)
	settings.ConfirmWait = cmp.Or(settings.ConfirmWait, time.Second)
	settings.RetryMin = cmp.Or(settings.RetryMin, 50*time.Millisecond)
	settings.RetryMax = cmp.Or(settings.RetryMax, 2*time.Second)
	settings.TrailEntries = cmp.Or(settings.TrailEntries, audit.DefaultTrailEntries)
	c := &StreamClient{
		log:      log,
		settings: settings,
		trail:    audit.NewTrail(0, settings.TrailEntries),
		pass:     func(Step) {},
		view:     fold.Empty(),
		watched:  make(map[string]*settled),
	}
	c.setView(c.view)
	return c
}

// setView replaces the view; the caller holds the lock.
func (c *StreamClient) setView(view *fold.View) {
	c.view = view
	if view.ConfigVersion == c.settings.RetainVersion {
		c.remembered = view
	}
}

// RetainedView returns a view with the version of ClientSettings.Remember in
// force, or false when the client has not read that far back.
func (c *StreamClient) RetainedView() (*fold.View, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remembered, c.remembered != nil
}

// View implements Stream.
func (c *StreamClient) View() *fold.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Since implements History with the changes that the client has read.
func (c *StreamClient) Since(version platform.Offset) ([]audit.Entry, bool) {
	return c.trail.Since(version)
}

// Refresh reads the stream to its end, starting from the newest snapshot
// where there is one. While the log does not answer it retries until ctx ends.
func (c *StreamClient) Refresh(ctx context.Context) error {
	c.pass(StepBeforeRead)
	wait := c.newBackOff()
	for {
		err := c.readToEnd(ctx, 0)
		if err == nil {
			return nil
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return errkind.Wrap(errkind.LogUnavailable, "read the control stream", err)
		}
	}
}

// Append implements Appender. It repeats the same record until it has read it
// back or ctx ends; the fold applies an id once, so a repetition is harmless.
func (c *StreamClient) Append(ctx context.Context, body record.Body) (fold.ApplyResult, platform.Offset, error) {
	envelope, err := record.New(c.settings.Name, time.Now().UnixMilli(), body)
	if err != nil {
		return fold.ApplyResult{}, 0, errkind.Wrap(errkind.InvalidRequest, "encode the record", err)
	}
	data, err := envelope.Encode()
	if err != nil {
		return fold.ApplyResult{}, 0, errkind.Wrap(errkind.InvalidRequest, "encode the record", err)
	}
	start := c.watch(envelope.ID)
	defer c.unwatch(envelope.ID)
	return c.appendUntilSettled(ctx, envelope.ID, data, start)
}

func (c *StreamClient) appendUntilSettled(ctx context.Context, id string, data json.RawMessage, start platform.Offset) (fold.ApplyResult, platform.Offset, error) {
	wait := c.newBackOff()
	var appended, ambiguous bool
	var err error
	for step := StepBeforeAppend; ; step = StepBeforeRetry {
		// A record that is known to be in the stream is only waited for.
		if !appended {
			c.pass(step)
			_, err = c.log.Append(ctx, record.ControlStream, []json.RawMessage{data})
			c.pass(StepAfterAppend)
		}
		appended = err == nil
		rejected := stderrors.Is(err, platform.ErrRejected)
		if rejected && !ambiguous {
			return fold.ApplyResult{}, 0, errkind.Wrap(errkind.LogUnavailable, "the log rejected the change", err)
		}
		ambiguous = ambiguous || !rejected
		if s, ok := c.settle(ctx, id, appended); ok {
			c.pass(StepAfterConfirm)
			return c.judge(s, start, id)
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return fold.ApplyResult{}, 0, unsettled(id, err)
		}
	}
}

// settle reads on and returns the result of the first record with the id. It
// waits for a record that is known to be in the stream.
func (c *StreamClient) settle(ctx context.Context, id string, appended bool) (settled, bool) {
	wait := time.Duration(0)
	if appended {
		wait = c.settings.ConfirmWait
	}
	// A failed read may have folded the record before it failed; without it
	// the caller tries again.
	_ = c.readToEnd(ctx, wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.watched[id]
	return s, s.found
}

// judge returns the result of a settled record. After a jump over records the
// first copy may have been among them, so that a void verdict proves nothing.
func (c *StreamClient) judge(s settled, start platform.Offset, id string) (fold.ApplyResult, platform.Offset, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.verdict.Applied && c.skipped > start {
		return fold.ApplyResult{}, 0, unsettled(id, nil)
	}
	return s.verdict, s.offset, nil
}

func unsettled(id string, cause error) error {
	return errkind.Wrap(errkind.OutcomeUnknown, "whether change "+id+" was published is not known; look for it in the history before publishing again", cause)
}

func (c *StreamClient) watch(id string) platform.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched[id] = &settled{}
	return c.view.Offset
}

func (c *StreamClient) unwatch(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watched, id)
}

func (c *StreamClient) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.settings.RetryMin
	b.MaxInterval = c.settings.RetryMax
	// One operator's client needs no spreading, and a fixed wait keeps a
	// simulation reproducible.
	b.RandomizationFactor = 0
	b.Reset()
	return b
}

// sleep waits for d and reports whether ctx still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
