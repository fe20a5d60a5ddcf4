package atmostonce

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// maxAttempts is the maximum number of dispatches of one call (section 9.6 of the design).
const maxAttempts = 3

// Dispatcher chooses agents for a call and sends the attempts.
type Dispatcher interface {
	// Choose returns a live agent incarnation. It returns one that is not in tried
	// if there is any.
	Choose(ctx context.Context, tried []record.InstanceRef) (record.InstanceRef, error)
	// Send dispatches the attempt once. If Send returns an error, Do asks the agent
	// to settle the attempt.
	Send(ctx context.Context, permit Permit) (Result, error)
}

// Do runs a call at most once: it calls Begin, Send, and then Complete or Fail.
// If the agent has fenced an attempt, Do tries another agent, up to three
// attempts in all.
func (c *Client) Do(ctx context.Context, id CallID, digest Digest, d Dispatcher) (Result, error) {
	target, err := d.Choose(ctx, nil)
	if err != nil {
		return Result{}, err
	}
	decision, err := c.Begin(ctx, Call{CallID: id, Digest: digest, Target: target})
	var tried []record.InstanceRef
	for {
		if err != nil {
			return Result{}, err
		}
		if decision.Permit == nil {
			return *decision.Result, nil
		}
		permit := *decision.Permit
		tried = append(tried, permit.Target)
		if ctx.Err() != nil {
			return Result{}, errkind.Wrap(errkind.DeadlineUnmet, "the deadline passed before the dispatch", ctx.Err())
		}
		r, failure := c.send(ctx, permit, d)
		if failure == nil {
			// The result is valid even if it cannot be recorded; see Complete.
			_ = c.Complete(ctx, permit, r)
			return r, nil
		}
		decision, err = c.Fail(ctx, permit, failure, c.chooseNext(ctx, d, tried))
	}
}

func (c *Client) send(ctx context.Context, permit Permit, d Dispatcher) (Result, error) {
	if !c.views.MayWork() {
		return Result{}, errkind.New(errkind.ViewStale, "the view is too stale to dispatch the call")
	}
	c.hooks.reach(StepBeforeDispatch)
	defer c.hooks.reach(StepAfterDispatch)
	return d.Send(ctx, permit)
}

func (c *Client) chooseNext(ctx context.Context, d Dispatcher, tried []record.InstanceRef) *record.InstanceRef {
	if len(tried) >= maxAttempts {
		return nil
	}
	next, err := d.Choose(ctx, tried)
	if err != nil {
		return nil
	}
	return &next
}
