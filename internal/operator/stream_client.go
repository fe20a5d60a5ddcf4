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
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// StreamClient is a Stream for programs that are not instances: it reads the
// control stream directly from the log and applies it to a view of its own. It
// is safe for concurrent use.
type StreamClient struct {
	log      backing.Log
	settings ClientSettings
	trail    *audit.RecentEntries
	// onStep is called at each step; tests inject faults there.
	onStep func(Step)

	mu   sync.Mutex
	view *controlstate.View
	// retained is the view of settings.RetainVersion, nil until it has been read.
	retained *controlstate.View
	// skippedTo is the offset of the last snapshot that the client loaded. It has
	// not read the records between its previous offset and this one.
	skippedTo backing.Offset
	// pending maps the id of each record whose Append has not returned to the
	// result of the first copy that was read.
	pending map[string]*recordResult
}

var _ Stream = (*StreamClient)(nil)

// NewStreamClient returns a client of the control stream in log. Its view is
// empty until Refresh is called.
func NewStreamClient(log backing.Log, settings ClientSettings) *StreamClient {
	settings.Name = cmp.Or(settings.Name, "cli")
	settings.PageRecords = cmp.Or(settings.PageRecords, 512)
	settings.ConfirmWait = cmp.Or(settings.ConfirmWait, time.Second)
	settings.RetryMin = cmp.Or(settings.RetryMin, 50*time.Millisecond)
	settings.RetryMax = cmp.Or(settings.RetryMax, 2*time.Second)
	settings.TrailEntries = cmp.Or(settings.TrailEntries, audit.DefaultRecentEntries)
	c := &StreamClient{
		log:      log,
		settings: settings,
		trail:    audit.NewRecentEntries(0, settings.TrailEntries),
		onStep:   func(Step) {},
		view:     controlstate.Empty(),
		pending:  make(map[string]*recordResult),
	}
	c.setView(c.view)
	return c
}

// setView replaces the view. The caller must hold c.mu.
func (c *StreamClient) setView(view *controlstate.View) {
	c.view = view
	if view.ConfigVersion == c.settings.RetainVersion {
		c.retained = view
	}
}

// RetainedView returns a view of ClientSettings.RetainVersion, or false if the
// client has not read that version.
func (c *StreamClient) RetainedView() (*controlstate.View, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retained, c.retained != nil
}

// View implements Stream.
func (c *StreamClient) View() *controlstate.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Since implements History with the changes that the client has read.
func (c *StreamClient) Since(version backing.Offset) ([]audit.Entry, bool) {
	return c.trail.Since(version)
}

// Refresh reads the stream to its end, starting from the newest snapshot if there
// is one. It retries failed reads until ctx ends.
func (c *StreamClient) Refresh(ctx context.Context) error {
	c.onStep(StepBeforeRead)
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

// Append implements Appender. It sends the same record until it has read the
// record back or ctx ends. A duplicate is harmless, because a view applies a
// record id only once.
func (c *StreamClient) Append(ctx context.Context, body record.Body) (controlstate.ApplyResult, backing.Offset, error) {
	envelope, err := record.New(c.settings.Name, time.Now().UnixMilli(), body)
	if err != nil {
		return controlstate.ApplyResult{}, 0, errkind.Wrap(errkind.InvalidRequest, "encode the record", err)
	}
	data, err := envelope.Encode()
	if err != nil {
		return controlstate.ApplyResult{}, 0, errkind.Wrap(errkind.InvalidRequest, "encode the record", err)
	}
	startOffset := c.addPending(envelope.ID)
	defer c.removePending(envelope.ID)
	return c.appendUntilConfirmed(ctx, envelope.ID, data, startOffset)
}

func (c *StreamClient) appendUntilConfirmed(ctx context.Context, id string, data json.RawMessage, startOffset backing.Offset) (controlstate.ApplyResult, backing.Offset, error) {
	wait := c.newBackOff()
	var appended, maybeAppended bool
	var err error
	for step := StepBeforeAppend; ; step = StepBeforeRetry {
		// Once the log has acknowledged the record, only wait to read it.
		if !appended {
			c.onStep(step)
			_, err = c.log.Append(ctx, record.ControlStream, []json.RawMessage{data})
			c.onStep(StepAfterAppend)
		}
		appended = err == nil
		rejected := stderrors.Is(err, backing.ErrRejected)
		if rejected && !maybeAppended {
			return controlstate.ApplyResult{}, 0, errkind.Wrap(errkind.LogUnavailable, "the log rejected the change", err)
		}
		maybeAppended = maybeAppended || !rejected
		if r, ok := c.readResult(ctx, id, appended); ok {
			c.onStep(StepAfterConfirm)
			return c.checkResult(r, startOffset, id)
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return controlstate.ApplyResult{}, 0, outcomeUnknown(id, err)
		}
	}
}

// readResult reads to the end of the stream and returns the result of the first
// record with the id. If the log has acknowledged the record (appended), the first
// read waits up to ConfirmWait for it.
func (c *StreamClient) readResult(ctx context.Context, id string, appended bool) (recordResult, bool) {
	wait := time.Duration(0)
	if appended {
		wait = c.settings.ConfirmWait
	}
	// Ignore the error: the read may have applied the record before it failed,
	// and otherwise the caller retries.
	_ = c.readToEnd(ctx, wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := *c.pending[id]
	return r, r.found
}

// checkResult returns the result of a record that was read back. If the client
// has skipped records by loading a snapshot, it may have skipped the first copy of
// this record. A rejected later copy then does not show whether the first one took
// effect, so checkResult returns OutcomeUnknown.
func (c *StreamClient) checkResult(r recordResult, startOffset backing.Offset, id string) (controlstate.ApplyResult, backing.Offset, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.result.Applied && c.skippedTo > startOffset {
		return controlstate.ApplyResult{}, 0, outcomeUnknown(id, nil)
	}
	return r.result, r.offset, nil
}

func outcomeUnknown(id string, cause error) error {
	return errkind.Wrap(errkind.OutcomeUnknown, "it is unknown whether change "+id+" was published; check the history before publishing again", cause)
}

// addPending starts recording the result of id and returns the view's offset.
func (c *StreamClient) addPending(id string) backing.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = &recordResult{}
	return c.view.Offset
}

func (c *StreamClient) removePending(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *StreamClient) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.settings.RetryMin
	b.MaxInterval = c.settings.RetryMax
	// A single client needs no jitter, and without it simulations are
	// reproducible.
	b.RandomizationFactor = 0
	b.Reset()
	return b
}

// sleep waits for d. It returns false if ctx ended first.
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
