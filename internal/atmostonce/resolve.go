package atmostonce

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// resolve turns the state of a call into a decision for the caller that proposed
// attempt. While an attempt of another instance is running, it waits until that
// attempt ends or ctx is done.
func (c *Client) resolve(ctx context.Context, call Call, attempt string, s CallState) (Decision, error) {
	for {
		var err error
		switch {
		case s.Digest != call.Digest && !c.hooks.ignoreDigest:
			return Decision{}, errkind.New(errkind.KeyReused, "the Idempotency-Key belongs to a different request")
		case s.Phase == PhaseFinished:
			return Decision{Result: s.Result}, nil
		case s.MayDispatch(attempt):
			return Decision{Permit: &Permit{CallID: call.CallID, Digest: call.Digest, Attempt: attempt, Target: s.Target}}, nil
		case s.Phase == PhaseNotRun:
			attempt = c.ids.next()
			s, err = c.intent(ctx, call, attempt, "")
		default:
			attempt = c.ids.next()
			s, err = c.awaitEnd(ctx, call, attempt, s)
		}
		if err != nil {
			return Decision{}, err
		}
	}
}

// awaitEnd waits until the attempt in s ends and returns the next state of the
// call. When SettleAfter has passed or the author of the attempt has left the
// view, it asks the agent to settle the attempt. If the agent fences it, the
// given attempt replaces it.
func (c *Client) awaitEnd(ctx context.Context, call Call, attempt string, s CallState) (CallState, error) {
	settleAt := time.Now().Add(c.opts.SettleAfter)
	for {
		if !c.isLive(s.Author) || !time.Now().Before(settleAt) {
			next, done, err := c.takeOver(ctx, call, attempt, s)
			if done || err != nil {
				return next, err
			}
		}
		if err := c.waitPollInterval(ctx); err != nil {
			return CallState{}, err
		}
		if current, err := c.status(ctx, call.CallID); err == nil && current.Known && changed(s, current.State) {
			return current.State, nil
		}
	}
}

func changed(a, b CallState) bool { return a.Attempt != b.Attempt || a.Phase != b.Phase }

// takeOver asks the agent to settle the attempt in s. It returns false if the
// attempt may still be running, so that the caller has to wait and try again.
func (c *Client) takeOver(ctx context.Context, call Call, attempt string, s CallState) (CallState, bool, error) {
	permit := Permit{CallID: s.CallID, Digest: s.Digest, Attempt: s.Attempt, Target: s.Target}
	answer, err := c.settle(ctx, permit)
	if err != nil {
		return s, false, nil // The agent may respond to the next request.
	}
	switch answer.State {
	case SettleFinished:
		// The agent's result is valid even if it cannot be recorded.
		_ = c.Complete(ctx, permit, *answer.Result)
		s.Phase = PhaseFinished
		s.Result = answer.Result
		return s, true, nil
	case SettleFenced:
		c.hooks.reach(StepBeforeSupersede)
		next, err := c.intent(ctx, call, attempt, s.Attempt)
		return next, true, err
	case SettleUnknown:
		return c.resolveUnknown(ctx, s)
	default:
		return s, false, nil
	}
}

// resolveUnknown handles an attempt of which the agent cannot tell whether it
// ran. It returns the current state if another instance has changed it in the
// meantime, and outcome_unknown otherwise.
func (c *Client) resolveUnknown(ctx context.Context, s CallState) (CallState, bool, error) {
	current, err := c.status(ctx, s.CallID)
	if err == nil && current.Known && changed(s, current.State) {
		return current.State, true, nil
	}
	return s, true, errOutcomeUnknown("the agent that the call was sent to cannot tell whether it ran")
}

// settle asks the agent incarnation named by the permit for the final state of
// the attempt. If that incarnation is no longer in the view, settle returns
// SettleUnknown without sending a request.
func (c *Client) settle(ctx context.Context, permit Permit) (SettleResponse, error) {
	m, ok := c.member(permit.Target)
	if !ok {
		return SettleResponse{Attempt: permit.Attempt, State: SettleUnknown}, nil
	}
	c.hooks.reach(StepBeforeSettle)
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	answer, err := c.agents.Settle(ctx, m, SettleRequest{CallID: permit.CallID, Attempt: permit.Attempt, Target: permit.Target})
	c.hooks.reach(StepAfterSettle)
	if err != nil {
		return SettleResponse{}, err
	}
	// A response about another attempt says nothing about this one (F18).
	if answer.Attempt != permit.Attempt || answer.State == SettleFinished && answer.Result == nil {
		return SettleResponse{}, errkind.New(errkind.Internal, "the agent answered for another attempt or without a result")
	}
	return answer, nil
}

func (c *Client) waitPollInterval(ctx context.Context) error {
	timer := time.NewTimer(c.opts.PollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.InProgress, "the call with this Idempotency-Key is still in progress").WithRetryAfter(time.Second)
	}
}

// Fail handles a dispatch that returned an error. It asks the agent to settle
// the attempt. If the agent has a result, Fail records and returns it. If the
// agent fenced the attempt, Fail replaces it by an attempt at next; if next is
// nil, it records that the call did not run and returns cause as a "not run"
// error. In all other cases it returns in_progress or outcome_unknown.
func (c *Client) Fail(ctx context.Context, permit Permit, cause error, next *record.InstanceRef) (Decision, error) {
	for {
		answer, err := c.settle(ctx, permit)
		switch {
		case err == nil && answer.State == SettleFinished:
			_ = c.Complete(ctx, permit, *answer.Result)
			return Decision{Result: answer.Result}, nil
		case err == nil && answer.State == SettleFenced:
			return c.handleFenced(ctx, permit, cause, next)
		case err == nil && answer.State == SettleUnknown:
			return Decision{}, errOutcomeUnknown("the agent that the call was sent to cannot tell whether it ran")
		}
		if err := c.waitPollInterval(ctx); err != nil {
			return Decision{}, err
		}
	}
}

func (c *Client) handleFenced(ctx context.Context, permit Permit, cause error, next *record.InstanceRef) (Decision, error) {
	if next != nil && c.views.MayWork() {
		call := Call{CallID: permit.CallID, Digest: permit.Digest, Target: *next}
		attempt := c.ids.next()
		c.hooks.reach(StepBeforeSupersede)
		s, err := c.intent(ctx, call, attempt, permit.Attempt)
		if err != nil {
			return Decision{}, err
		}
		return c.resolve(ctx, call, attempt, s)
	}
	c.hooks.reach(StepBeforeRecordNotRun)
	// If this record is not written, a retry settles the attempt again, with the same answer.
	_, _ = c.ask(ctx, permit.CallID, func(ctx context.Context, to controlstate.Member) (StateResponse, error) {
		return c.writers.Result(ctx, to, ResultRequest{CallID: permit.CallID, Digest: permit.Digest, Attempt: permit.Attempt})
	})
	refusal := errkind.From(cause)
	if refusal.Ran != errkind.RanNo {
		refusal = errkind.Wrap(errkind.Fenced, "the dispatch failed and the agent fenced it before it ran", cause)
	}
	return Decision{}, refusal
}
