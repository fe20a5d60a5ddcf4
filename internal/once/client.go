package once

import (
	"context"
	"io"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Client is used by one entry instance. It is safe for concurrent use.
//
// A refusal that says "not run" speaks of the call that it answers. An earlier
// call with the same key may have run; Status tells.
type Client struct {
	self    record.InstanceRef
	views   Views
	writers Peer
	agents  AgentPeer
	opts    Options
	ids     *ids
	ranks   *ranks
	hooks   *hooks
}

// NewClient returns the client of the entry instance self. Random is the source
// of attempt ids.
func NewClient(self record.InstanceRef, views Views, writers Peer, agents AgentPeer, opts Options, random io.Reader) *Client {
	opts = opts.WithDefaults()
	return &Client{
		self:    self,
		views:   views,
		writers: writers,
		agents:  agents,
		opts:    opts,
		ids:     &ids{random: random},
		ranks:   newRanks(opts.Partitions),
		hooks:   &hooks{},
	}
}

// Begin records the intent of the call and waits for the decision. The caller
// dispatches the ticket, once, or answers with the result of an earlier call
// with the same key. Errors: invalid_request, key_expired, key_reused,
// view_stale, log_unavailable, in_progress, outcome_unknown.
func (c *Client) Begin(ctx context.Context, call Call) (Outcome, error) {
	if err := c.check(call.Key); err != nil {
		return Outcome{}, err
	}
	if !c.views.MayWork() {
		return Outcome{}, errkind.New(errkind.ViewStale, "the view is too old to dispatch")
	}
	c.hooks.reach(StepBegin)
	attempt := c.ids.next()
	state, err := c.intent(ctx, call, attempt, "")
	if err != nil {
		return Outcome{}, err
	}
	return c.resolve(ctx, call, attempt, state)
}

// Complete records the result of a dispatched ticket. After an error the result
// is still valid and may be sent to the caller; a retry then learns it from the
// agent.
func (c *Client) Complete(ctx context.Context, t Ticket, r Result) error {
	kept := r.Kept()
	c.hooks.reach(StepBeforeResult)
	_, err := c.ask(ctx, t.Identity, func(ctx context.Context, to fold.Member) (StateAnswer, error) {
		return c.writers.Result(ctx, to, ResultRequest{Identity: t.Identity, Digest: t.Digest, Attempt: t.Attempt, Result: &kept})
	})
	c.hooks.reach(StepAfterResult)
	return err
}

// Status returns the recorded state of an identity. An unknown key is
// request_not_found without a claim, since a call may be on its way.
func (c *Client) Status(ctx context.Context, id Identity) (State, error) {
	if err := c.check(id.Key); err != nil {
		return State{}, err
	}
	answer, err := c.status(ctx, id)
	switch {
	case err != nil:
		return State{}, err
	case !answer.Known:
		return State{}, errkind.New(errkind.RequestNotFound, "no call with this Idempotency-Key is recorded").WithRanUnknown()
	case answer.State.Phase == PhaseRunning && !c.lives(answer.State.Target):
		return answer.State, errOutcome("the agent that the call was sent to is gone")
	default:
		return answer.State, nil
	}
}

func (c *Client) check(key string) error {
	if c.hooks.ignoreExpiry {
		return nil
	}
	canonical, _, err := ParseKey(key)
	if err != nil {
		return err
	}
	if canonical != key {
		return errkind.New(errkind.InvalidRequest, "the Idempotency-Key is not in canonical form")
	}
	return CheckKey(key, time.Now(), window(c.views, c.opts), c.opts.Skew)
}

func (c *Client) intent(ctx context.Context, call Call, attempt, old string) (State, error) {
	if attempt == "" {
		return State{}, errkind.New(errkind.Internal, "the source of randomness failed")
	}
	req := IntentRequest{
		Identity: call.Identity,
		Digest:   call.Digest,
		Attempt:  attempt,
		Old:      old,
		Target:   call.Target,
		Author:   c.self,
	}
	answer, err := c.ask(ctx, call.Identity, func(ctx context.Context, to fold.Member) (StateAnswer, error) {
		return c.writers.Intent(ctx, to, req)
	})
	c.hooks.reach(StepIntentAnswered)
	if err != nil {
		return State{}, err
	}
	if !answer.Known {
		return State{}, errkind.New(errkind.LogUnavailable, "the writer did not record the intent")
	}
	return answer.State, nil
}

func (c *Client) status(ctx context.Context, id Identity) (StateAnswer, error) {
	return c.ask(ctx, id, func(ctx context.Context, to fold.Member) (StateAnswer, error) {
		return c.writers.Status(ctx, to, StatusRequest{Identity: id})
	})
}

// ask sends a request to the candidates of the partition in turn. Repeats are
// harmless because each request names its attempt.
func (c *Client) ask(ctx context.Context, id Identity, send func(context.Context, fold.Member) (StateAnswer, error)) (StateAnswer, error) {
	var last error
	for _, to := range c.ranks.of(c.views.View(), id.Partition(c.opts.Partitions)) {
		answer, err := c.askOne(ctx, to, send)
		if err == nil && answer.Known && answer.State.Identity != id {
			continue // An answer to another request (F18).
		}
		if err == nil || final(err) {
			return answer, err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return StateAnswer{}, errkind.Wrap(errkind.LogUnavailable, "no writer could record the call; this call was not run", last).WithRetryAfter(time.Second)
}

func (c *Client) askOne(ctx context.Context, to fold.Member, send func(context.Context, fold.Member) (StateAnswer, error)) (StateAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	return send(ctx, to)
}

// final reports whether another writer would answer the same.
func final(err error) bool {
	switch errkind.From(err).Kind {
	case errkind.KeyReused, errkind.KeyExpired, errkind.InvalidRequest, errkind.OutcomeUnknown:
		return true
	default:
		return false
	}
}

// lives reports whether the view has exactly this incarnation.
func (c *Client) lives(ref record.InstanceRef) bool {
	_, ok := c.member(ref)
	return ok
}

func (c *Client) member(ref record.InstanceRef) (fold.Member, bool) {
	m, ok := c.views.View().Members.Get(ref.Instance)
	return m, ok && m.Incarnation == ref.Incarnation
}

func errOutcome(message string) error { return errkind.New(errkind.OutcomeUnknown, message) }
