package agent

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/once/attempt"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// maxEvictions bounds how often an attempt loads its checkpoint again after
// the engine evicted it without warning (F5).
const maxEvictions = 2

// execution is one admitted attempt.
type execution struct {
	agent       *Agent
	incarnation *Incarnation
	order       work.Order
	answer      *work.Answer
	sent        int
}

// execute runs the attempt and returns the tokens that the upstream counted.
func (x *execution) execute(ctx context.Context) (usage, error) {
	switch {
	case x.order.Checkpoint != "":
		return x.complete(ctx)
	case x.order.Once:
		return usage{}, x.callOnce(ctx)
	default:
		w, err := x.call(ctx)
		if err != nil {
			return usage{}, err
		}
		return usage{}, x.answer.Whole(w)
	}
}

// complete runs a request for a model. The engine answers model_not_found when
// it has evicted the checkpoint; nothing has run then, so it is loaded again.
func (x *execution) complete(ctx context.Context) (usage, error) {
	for evictions := 0; ; evictions++ {
		u, err := x.completeLoaded(ctx)
		if !errkind.Is(err, errkind.ModelNotFound) || x.sent > 0 {
			return u, err
		}
		if evictions == maxEvictions {
			return u, errkind.Wrap(errkind.LoadFailed, "the engine evicts "+x.order.Checkpoint+" again and again", err)
		}
		if err := x.incarnation.Residency.Refresh(ctx); err != nil {
			return u, errkind.Wrap(errkind.UpstreamUnavailable, "the engine does not say what it holds", err)
		}
	}
}

func (x *execution) completeLoaded(ctx context.Context) (usage, error) {
	deadline, _ := ctx.Deadline()
	release, err := x.incarnation.Residency.Acquire(ctx, x.order.Checkpoint, x.order.Team, deadline)
	if err != nil {
		return usage{}, err
	}
	defer release()
	return x.watched(ctx)
}

// watched runs the request under the watch for crashes. When the connection to
// the engine breaks it waits for the verdict, so that the answer tells a crash.
func (x *execution) watched(ctx context.Context) (usage, error) {
	inc, d := x.incarnation, poison.Digest(x.order.Digest)
	if err := inc.Tracker.Start(d); err != nil {
		return usage{}, err
	}
	before := inc.Reporter.BootID()
	u, err := x.generate(ctx)
	inc.Reporter.End(inc.Life, d, err == nil)
	if err == nil || ctx.Err() != nil || !broken(errkind.From(err)) {
		return u, err
	}
	inc.Reporter.LinkLost(inc.Life)
	if inc.Reporter.BootID() != before {
		return u, errkind.Wrap(errkind.UpstreamCrashed, "the engine crashed while it ran the request", err)
	}
	return u, err
}

func (x *execution) generate(ctx context.Context) (usage, error) {
	if x.order.Stream {
		return x.stream(ctx)
	}
	w, err := x.call(ctx)
	if err != nil {
		return usage{}, err
	}
	x.sent++
	return usageOf(w.Body), x.answer.Whole(w)
}

func (x *execution) stream(ctx context.Context) (usage, error) {
	var counter usageCounter
	err := x.agent.Upstream.Stream(ctx, x.request(ctx), func(data []byte) error {
		counter.chunk(data)
		x.sent++
		return x.answer.Data(data)
	})
	var refused *engine.AnswerError
	if errors.As(err, &refused) {
		x.sent++
		return usage{}, x.answer.Whole(work.Whole(refused.Whole))
	}
	return counter.usage(), err
}

// call returns the upstream's whole answer. An engine's own refusal becomes an
// error of its kind.
func (x *execution) call(ctx context.Context) (work.Whole, error) {
	w, err := x.agent.Upstream.Do(ctx, x.request(ctx))
	if err != nil {
		return work.Whole{}, err
	}
	if refusal, ok := engine.Refusal(w); ok && x.order.Checkpoint != "" {
		return work.Whole{}, refusal
	}
	return work.Whole{Status: w.Status, ContentType: w.ContentType, Body: w.Body}, nil
}

func (x *execution) request(ctx context.Context) engine.Request {
	r := engine.Request{
		ID:             x.order.Attempt,
		Method:         x.order.Method,
		Path:           x.order.Path,
		ContentType:    x.order.ContentType,
		Body:           x.order.Body,
		IdempotencyKey: x.order.IdempotencyKey,
	}
	if deadline, ok := ctx.Deadline(); ok && !x.order.Stream {
		r.Timeout = time.Until(deadline)
	}
	return r
}

// callOnce runs a call that may not be repeated, unless the table has seen its
// attempt or has fenced it.
func (x *execution) callOnce(ctx context.Context) error {
	runner := attempt.Runner{Table: x.incarnation.Attempts}
	result, err := runner.Run(ctx, dispatch(x.incarnation, x.order), func(ctx context.Context) (once.Result, error) {
		w, err := x.call(ctx)
		return once.Result{Status: w.Status, ContentType: w.ContentType, Body: w.Body}, err
	})
	if err != nil {
		return err
	}
	return x.answer.Whole(work.Whole{Status: result.Status, ContentType: result.ContentType, Body: result.Body})
}

func dispatch(inc *Incarnation, o work.Order) attempt.Dispatch {
	return attempt.Dispatch{
		CallID:  once.CallID{Team: o.Team, Key: o.IdempotencyKey},
		Attempt: o.Attempt,
		Target:  record.HomeRef{Instance: inc.Self.Instance, Incarnation: o.Incarnation},
	}
}
