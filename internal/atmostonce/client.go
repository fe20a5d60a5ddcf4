package atmostonce

import (
	"context"
	"io"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Client runs the calls of one entry instance at most once. It is safe for
// concurrent use.
//
// An error that says "not run" refers only to the request that got it. An earlier
// request with the same key may have run; Status returns its recorded state.
type Client struct {
	self       record.InstanceRef
	views      ViewSource
	writers    WriterClient
	agents     AgentClient
	opts       Options
	ids        *idGenerator
	candidates *candidateCache
	hooks      *hooks
}

// NewClient returns the client of the entry instance self. Attempt ids are
// generated from random.
func NewClient(self record.InstanceRef, views ViewSource, writers WriterClient, agents AgentClient, opts Options, random io.Reader) *Client {
	opts = opts.WithDefaults()
	return &Client{
		self:       self,
		views:      views,
		writers:    writers,
		agents:     agents,
		opts:       opts,
		ids:        &idGenerator{random: random},
		candidates: newCandidateCache(opts.Partitions),
		hooks:      &hooks{},
	}
}

// Begin records the intent of the call and waits until the log decides which
// intent wins. The caller then either dispatches the permit, once, or answers
// with the result of an earlier call with the same key. Errors:
// invalid_request, key_expired, key_reused, view_stale, log_unavailable,
// in_progress, outcome_unknown.
func (c *Client) Begin(ctx context.Context, call Call) (Decision, error) {
	if err := c.check(call.Key); err != nil {
		return Decision{}, err
	}
	if !c.views.MayWork() {
		return Decision{}, errkind.New(errkind.ViewStale, "the view is too stale to dispatch the call")
	}
	c.hooks.reach(StepBegin)
	attempt := c.ids.next()
	state, err := c.intent(ctx, call, attempt, "")
	if err != nil {
		return Decision{}, err
	}
	return c.resolve(ctx, call, attempt, state)
}

// Complete records the result of a dispatched attempt. If Complete returns an
// error, the result is still valid and may be sent to the caller; a retry of
// the call then gets the result from the agent.
func (c *Client) Complete(ctx context.Context, permit Permit, r Result) error {
	stored := r.WithoutLargeBody()
	c.hooks.reach(StepBeforeResult)
	_, err := c.ask(ctx, permit.CallID, func(ctx context.Context, to controlstate.Member) (StateResponse, error) {
		return c.writers.Result(ctx, to, ResultRequest{CallID: permit.CallID, Digest: permit.Digest, Attempt: permit.Attempt, Result: &stored})
	})
	c.hooks.reach(StepAfterResult)
	return err
}

// Status returns the recorded state of a call. For an unknown key it returns
// request_not_found, which does not say that the call did not run: its intent
// may not have reached the log yet.
func (c *Client) Status(ctx context.Context, id CallID) (CallState, error) {
	if err := c.check(id.Key); err != nil {
		return CallState{}, err
	}
	answer, err := c.status(ctx, id)
	switch {
	case err != nil:
		return CallState{}, err
	case !answer.Known:
		return CallState{}, errkind.New(errkind.RequestNotFound, "no call with this Idempotency-Key is recorded").WithRanUnknown()
	case answer.State.Phase == PhaseRunning && !c.isLive(answer.State.Target):
		return answer.State, errOutcomeUnknown("the agent that the call was sent to has left the fleet")
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
	return CheckKey(key, time.Now(), idempotencyWindow(c.views, c.opts), c.opts.MaxClockSkew)
}

func (c *Client) intent(ctx context.Context, call Call, attempt, oldAttempt string) (CallState, error) {
	if attempt == "" {
		return CallState{}, errkind.New(errkind.Internal, "no attempt id: the random source failed")
	}
	req := IntentRequest{
		CallID:     call.CallID,
		Digest:     call.Digest,
		Attempt:    attempt,
		OldAttempt: oldAttempt,
		Target:     call.Target,
		Author:     c.self,
	}
	answer, err := c.ask(ctx, call.CallID, func(ctx context.Context, to controlstate.Member) (StateResponse, error) {
		return c.writers.Intent(ctx, to, req)
	})
	c.hooks.reach(StepIntentAnswered)
	if err != nil {
		return CallState{}, err
	}
	if !answer.Known {
		return CallState{}, errkind.New(errkind.LogUnavailable, "the writer did not record the intent")
	}
	return answer.State, nil
}

func (c *Client) status(ctx context.Context, id CallID) (StateResponse, error) {
	return c.ask(ctx, id, func(ctx context.Context, to controlstate.Member) (StateResponse, error) {
		return c.writers.Status(ctx, to, StatusRequest{CallID: id})
	})
}

// ask sends a request to the candidate writers of the partition, best first,
// until one of them gives a final answer. Sending a request twice does no harm,
// because each request names its attempt.
func (c *Client) ask(ctx context.Context, id CallID, send func(context.Context, controlstate.Member) (StateResponse, error)) (StateResponse, error) {
	var last error
	for _, to := range c.candidates.forPartition(c.views.View(), id.Partition(c.opts.Partitions)) {
		answer, err := c.askWriter(ctx, to, send)
		if err == nil && answer.Known && answer.State.CallID != id {
			continue // The response belongs to another request (F18).
		}
		if err == nil || final(err) {
			return answer, err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return StateResponse{}, errkind.Wrap(errkind.LogUnavailable, "no partition writer could handle the request; this request was not run", last).WithRetryAfter(time.Second)
}

func (c *Client) askWriter(ctx context.Context, to controlstate.Member, send func(context.Context, controlstate.Member) (StateResponse, error)) (StateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	return send(ctx, to)
}

// final reports whether every other writer would return the same error.
func final(err error) bool {
	switch errkind.From(err).Kind {
	case errkind.KeyReused, errkind.KeyExpired, errkind.InvalidRequest, errkind.OutcomeUnknown:
		return true
	default:
		return false
	}
}

// isLive reports whether the view contains exactly this incarnation.
func (c *Client) isLive(ref record.InstanceRef) bool {
	_, ok := c.member(ref)
	return ok
}

func (c *Client) member(ref record.InstanceRef) (controlstate.Member, bool) {
	m, ok := c.views.View().Members.Get(ref.Instance)
	return m, ok && m.Incarnation == ref.Incarnation
}

func errOutcomeUnknown(message string) error { return errkind.New(errkind.OutcomeUnknown, message) }
