package once

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// resolve turns a state into an outcome for the call that holds attempt. It
// follows another instance's attempt until that ends or ctx does.
func (c *Client) resolve(ctx context.Context, call Call, attempt string, s State) (Outcome, error) {
	for {
		var err error
		switch {
		case s.Digest != call.Digest && !c.hooks.ignoreDigest:
			return Outcome{}, errkind.New(errkind.KeyReused, "the Idempotency-Key belongs to a different request")
		case s.Phase == PhaseFinished:
			return Outcome{Result: s.Result}, nil
		case s.Won(attempt):
			return Outcome{Ticket: &Ticket{Identity: call.Identity, Digest: call.Digest, Attempt: attempt, Target: s.Target}}, nil
		case s.Phase == PhaseNotRun:
			attempt = c.ids.next()
			s, err = c.intent(ctx, call, attempt, "")
		default:
			attempt = c.ids.next()
			s, err = c.follow(ctx, call, attempt, s)
		}
		if err != nil {
			return Outcome{}, err
		}
	}
}

// follow waits until the attempt in s ends and returns the next state. Once the
// attempt is old or its author is gone, the agent is asked to settle it; a
// fenced one is superseded by attempt.
func (c *Client) follow(ctx context.Context, call Call, attempt string, s State) (State, error) {
	settleAt := time.Now().Add(c.opts.SettleAfter)
	for {
		if !c.lives(s.Author) || !time.Now().Before(settleAt) {
			next, done, err := c.takeOver(ctx, call, attempt, s)
			if done || err != nil {
				return next, err
			}
		}
		if err := c.wait(ctx); err != nil {
			return State{}, err
		}
		if now, err := c.status(ctx, call.Identity); err == nil && now.Known && changed(s, now.State) {
			return now.State, nil
		}
	}
}

func changed(a, b State) bool { return a.Attempt != b.Attempt || a.Phase != b.Phase }

// takeOver settles the attempt in s. It reports done when the state has moved on.
func (c *Client) takeOver(ctx context.Context, call Call, attempt string, s State) (State, bool, error) {
	t := Ticket{Identity: s.Identity, Digest: s.Digest, Attempt: s.Attempt, Target: s.Target}
	answer, err := c.settle(ctx, t)
	if err != nil {
		return s, false, nil // The agent may answer the next time.
	}
	switch answer.State {
	case SettleFinished:
		// The agent's answer stands even if the record fails.
		_ = c.Complete(ctx, t, *answer.Result)
		s.Phase = PhaseFinished
		s.Result = answer.Result
		return s, true, nil
	case SettleFenced:
		c.hooks.reach(StepBeforeSupersede)
		next, err := c.intent(ctx, call, attempt, s.Attempt)
		return next, true, err
	case SettleUnknown:
		return c.lost(ctx, s)
	default:
		return s, false, nil
	}
}

// lost looks for a result that another instance recorded before it gives up.
func (c *Client) lost(ctx context.Context, s State) (State, bool, error) {
	now, err := c.status(ctx, s.Identity)
	if err == nil && now.Known && changed(s, now.State) {
		return now.State, true, nil
	}
	return s, true, errOutcome("the agent that the call was sent to cannot tell whether it ran")
}

// settle asks the agent incarnation of the ticket. A lost incarnation is
// answered as unknown without a message.
func (c *Client) settle(ctx context.Context, t Ticket) (SettleAnswer, error) {
	m, ok := c.member(t.Target)
	if !ok {
		return SettleAnswer{Attempt: t.Attempt, State: SettleUnknown}, nil
	}
	c.hooks.reach(StepBeforeSettle)
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	answer, err := c.agents.Settle(ctx, m, SettleRequest{Identity: t.Identity, Attempt: t.Attempt, Target: t.Target})
	c.hooks.reach(StepAfterSettle)
	if err != nil {
		return SettleAnswer{}, err
	}
	// An answer to another attempt proves nothing about this one (F18).
	if answer.Attempt != t.Attempt || answer.State == SettleFinished && answer.Result == nil {
		return SettleAnswer{}, errkind.New(errkind.Internal, "the agent answered for another attempt")
	}
	return answer, nil
}

func (c *Client) wait(ctx context.Context) error {
	timer := time.NewTimer(c.opts.PollEvery)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.InProgress, "the call with this Idempotency-Key has not ended").WithRetryAfter(time.Second)
	}
}

// Fail ends a ticket whose dispatch failed, in whatever way. The agent settles
// it: a result is recorded and returned; a fenced attempt is superseded by one
// to next, or without next closed and answered with the cause, not run.
// Anything else is in_progress or outcome_unknown.
func (c *Client) Fail(ctx context.Context, t Ticket, cause error, next *record.InstanceRef) (Outcome, error) {
	for {
		answer, err := c.settle(ctx, t)
		switch {
		case err == nil && answer.State == SettleFinished:
			_ = c.Complete(ctx, t, *answer.Result)
			return Outcome{Result: answer.Result}, nil
		case err == nil && answer.State == SettleFenced:
			return c.fenced(ctx, t, cause, next)
		case err == nil && answer.State == SettleUnknown:
			return Outcome{}, errOutcome("the agent that the call was sent to cannot tell whether it ran")
		}
		if err := c.wait(ctx); err != nil {
			return Outcome{}, err
		}
	}
}

func (c *Client) fenced(ctx context.Context, t Ticket, cause error, next *record.InstanceRef) (Outcome, error) {
	if next != nil && c.views.MayWork() {
		call := Call{Identity: t.Identity, Digest: t.Digest, Target: *next}
		attempt := c.ids.next()
		c.hooks.reach(StepBeforeSupersede)
		s, err := c.intent(ctx, call, attempt, t.Attempt)
		if err != nil {
			return Outcome{}, err
		}
		return c.resolve(ctx, call, attempt, s)
	}
	c.hooks.reach(StepBeforeClose)
	// Without the record a retry settles the attempt again, with the same answer.
	_, _ = c.ask(ctx, t.Identity, func(ctx context.Context, to fold.Member) (StateAnswer, error) {
		return c.writers.Result(ctx, to, ResultRequest{Identity: t.Identity, Digest: t.Digest, Attempt: t.Attempt})
	})
	refusal := errkind.From(cause)
	if refusal.Ran != errkind.RanNo {
		refusal = errkind.Wrap(errkind.Fenced, "the dispatch failed and the agent fenced it before it ran", cause)
	}
	return Outcome{}, refusal
}
