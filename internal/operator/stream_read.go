package operator

import (
	"context"
	stderrors "errors"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/pkg/errors"
)

// readToEnd folds every record up to the end of the stream; the first read
// waits up to wait for a record.
func (c *StreamClient) readToEnd(ctx context.Context, wait time.Duration) error {
	if c.View().Offset == 0 {
		if err := c.loadSnapshot(ctx, 0); err != nil {
			return err
		}
	}
	for {
		after := c.View().Offset
		page, err := c.log.Read(ctx, record.ControlStream, after, c.settings.PageRecords, wait)
		var expired *platform.ExpiredError
		if stderrors.As(err, &expired) {
			if err := c.loadSnapshot(ctx, expired.Oldest-1); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		c.foldPage(page)
		wait = 0
		if c.View().Offset >= page.End {
			return nil
		}
		if len(page.Records) == 0 {
			return errors.Errorf("the log answered no records after offset %d, but ends at %d", after, page.End)
		}
	}
}

func (c *StreamClient) foldPage(page platform.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range page.Records {
		if r.Offset <= c.view.Offset {
			continue
		}
		next, envelope, verdict := c.view.ApplyRecord(r)
		c.setView(next)
		c.trail.Observe(r.Offset, envelope, verdict)
		if s := c.watched[envelope.ID]; s != nil && !s.found {
			*s = settled{found: true, verdict: verdict, offset: r.Offset}
		}
	}
}

// loadSnapshot replaces the view by the newest snapshot, which must be at
// least at offset. Without a newer snapshot the view stays as it is.
func (c *StreamClient) loadSnapshot(ctx context.Context, offset platform.Offset) error {
	view, err := c.newestSnapshot(ctx)
	if err != nil {
		return errors.Wrap(err, "load the newest snapshot")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if view != nil && view.Offset > c.view.Offset {
		c.setView(view)
		c.skipped = view.Offset
		c.trail.Reset(view.Offset)
	}
	if c.view.Offset < offset {
		return errors.Errorf("control records after offset %d have expired and no snapshot covers them", c.view.Offset)
	}
	return nil
}

func (c *StreamClient) newestSnapshot(ctx context.Context) (*fold.View, error) {
	if c.settings.LoadSnapshot == nil {
		return nil, nil
	}
	return c.settings.LoadSnapshot(ctx, c.log)
}
