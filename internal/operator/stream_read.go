package operator

import (
	"context"
	stderrors "errors"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/pkg/errors"
)

// readToEnd applies every record up to the end of the stream to the view. The
// first read waits up to wait for a record.
func (c *StreamClient) readToEnd(ctx context.Context, wait time.Duration) error {
	if c.View().Offset == 0 {
		if err := c.loadSnapshot(ctx, 0); err != nil {
			return err
		}
	}
	for {
		after := c.View().Offset
		page, err := c.log.Read(ctx, record.ControlStream, after, c.settings.PageRecords, wait)
		var expired *backing.ExpiredError
		if stderrors.As(err, &expired) {
			if err := c.loadSnapshot(ctx, expired.Oldest-1); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		c.applyPage(page)
		wait = 0
		if c.View().Offset >= page.End {
			return nil
		}
		if len(page.Records) == 0 {
			return errors.Errorf("the log returned no records after offset %d although it ends at offset %d", after, page.End)
		}
	}
}

func (c *StreamClient) applyPage(page backing.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range page.Records {
		if r.Offset <= c.view.Offset {
			continue
		}
		next, envelope, result := c.view.ApplyRecord(r)
		c.setView(next)
		c.trail.Observe(r.Offset, envelope, result)
		if p := c.pending[envelope.ID]; p != nil && !p.found {
			*p = recordResult{found: true, result: result, offset: r.Offset}
		}
	}
}

// loadSnapshot replaces the view with the newest snapshot if that is newer. It
// fails if the view is then still before offset minOffset, because the records
// needed to continue have expired.
func (c *StreamClient) loadSnapshot(ctx context.Context, minOffset backing.Offset) error {
	view, err := c.newestSnapshot(ctx)
	if err != nil {
		return errors.Wrap(err, "load the newest snapshot")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if view != nil && view.Offset > c.view.Offset {
		c.setView(view)
		c.skippedTo = view.Offset
		c.trail.Reset(view.Offset)
	}
	if c.view.Offset < minOffset {
		return errors.Errorf("control records after offset %d have expired and no snapshot covers them", c.view.Offset)
	}
	return nil
}

func (c *StreamClient) newestSnapshot(ctx context.Context) (*controlstate.View, error) {
	if c.settings.LoadSnapshot == nil {
		return nil, nil
	}
	return c.settings.LoadSnapshot(ctx, c.log)
}
