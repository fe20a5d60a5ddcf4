package once

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// maxAttempts bounds the dispatches of one call (section 9.6 of the design).
const maxAttempts = 3

// Dispatcher chooses agents for a call and sends the attempts.
type Dispatcher interface {
	// Choose returns a live agent incarnation, other than the tried ones if there is one.
	Choose(ctx context.Context, tried []record.InstanceRef) (record.InstanceRef, error)
	// Send dispatches the ticket once. After an error Do settles the attempt.
	Send(ctx context.Context, t Ticket) (Result, error)
}

// Do runs a call at most once: Begin, Send, and Complete or Fail. After a
// fenced attempt it tries another agent, up to three attempts in all.
func (c *Client) Do(ctx context.Context, id Identity, digest Digest, d Dispatcher) (Result, error) {
	target, err := d.Choose(ctx, nil)
	if err != nil {
		return Result{}, err
	}
	out, err := c.Begin(ctx, Call{Identity: id, Digest: digest, Target: target})
	var tried []record.InstanceRef
	for {
		if err != nil {
			return Result{}, err
		}
		if out.Ticket == nil {
			return *out.Result, nil
		}
		t := *out.Ticket
		tried = append(tried, t.Target)
		if ctx.Err() != nil {
			return Result{}, errkind.Wrap(errkind.DeadlineUnmet, "the deadline passed before the dispatch", ctx.Err())
		}
		r, failure := c.send(ctx, t, d)
		if failure == nil {
			// The answer is valid even if its record fails; see Complete.
			_ = c.Complete(ctx, t, r)
			return r, nil
		}
		out, err = c.Fail(ctx, t, failure, c.another(ctx, d, tried))
	}
}

func (c *Client) send(ctx context.Context, t Ticket, d Dispatcher) (Result, error) {
	if !c.views.MayWork() {
		return Result{}, errkind.New(errkind.ViewStale, "the view is too old to dispatch")
	}
	c.hooks.reach(StepBeforeDispatch)
	defer c.hooks.reach(StepAfterDispatch)
	return d.Send(ctx, t)
}

func (c *Client) another(ctx context.Context, d Dispatcher, tried []record.InstanceRef) *record.InstanceRef {
	if len(tried) >= maxAttempts {
		return nil
	}
	next, err := d.Choose(ctx, tried)
	if err != nil {
		return nil
	}
	return &next
}
