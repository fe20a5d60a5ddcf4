package agent

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/atmostonce/attempt"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// maxEvictions bounds how often one attempt reloads its checkpoint after the
// engine evicted it without notice (F5).
const maxEvictions = 2

// execution is one admitted attempt.
type execution struct {
	agent       *Agent
	incarnation *Incarnation
	request     dispatch.AttemptRequest
	response    *dispatch.ResponseWriter
	eventsSent  int
}

// execute runs the attempt and returns the tokens that the upstream counted.
func (x *execution) execute(ctx context.Context) (usage, error) {
	switch {
	case x.request.Checkpoint != "":
		return x.runCompletion(ctx)
	case x.request.Once:
		return usage{}, x.callOnce(ctx)
	default:
		w, err := x.call(ctx)
		if err != nil {
			return usage{}, err
		}
		return usage{}, x.response.WholeResponse(w)
	}
}

// runCompletion runs a request for a model. An engine that has evicted the
// checkpoint returns model_not_found without running the request, so
// runCompletion loads the checkpoint again and retries.
func (x *execution) runCompletion(ctx context.Context) (usage, error) {
	for evictions := 0; ; evictions++ {
		u, err := x.runLoaded(ctx)
		if !errkind.Is(err, errkind.ModelNotFound) || x.eventsSent > 0 {
			return u, err
		}
		if evictions == maxEvictions {
			return u, errkind.Wrap(errkind.LoadFailed, "the engine repeatedly evicted "+x.request.Checkpoint+" before the request ran", err)
		}
		if err := x.incarnation.Residency.Refresh(ctx); err != nil {
			return u, errkind.Wrap(errkind.UpstreamUnavailable, "the engine did not report its loaded checkpoints", err)
		}
	}
}

func (x *execution) runLoaded(ctx context.Context) (usage, error) {
	deadline, _ := ctx.Deadline()
	release, err := x.incarnation.Residency.Acquire(ctx, x.request.Checkpoint, x.request.Team, deadline)
	if err != nil {
		return usage{}, err
	}
	defer release()
	return x.runTracked(ctx)
}

// runTracked runs the request and records it with the crash tracker. If the
// connection to the engine breaks, it waits until the reporter has determined
// whether the engine crashed. After a crash the error has kind upstream_crashed.
func (x *execution) runTracked(ctx context.Context) (usage, error) {
	inc, d := x.incarnation, poison.Digest(x.request.Digest)
	if err := inc.Tracker.Start(d); err != nil {
		return usage{}, err
	}
	before := inc.Reporter.BootID()
	u, err := x.generate(ctx)
	inc.Reporter.End(inc.Context, d, err == nil)
	if err == nil || ctx.Err() != nil || !upstreamBroke(errkind.From(err)) {
		return u, err
	}
	inc.Reporter.ConnectionLost(inc.Context)
	if inc.Reporter.BootID() != before {
		return u, errkind.Wrap(errkind.UpstreamCrashed, "the engine crashed while it ran the request", err)
	}
	return u, err
}

func (x *execution) generate(ctx context.Context) (usage, error) {
	if x.request.Stream {
		return x.stream(ctx)
	}
	w, err := x.call(ctx)
	if err != nil {
		return usage{}, err
	}
	x.eventsSent++
	return usageOf(w.Body), x.response.WholeResponse(w)
}

func (x *execution) stream(ctx context.Context) (usage, error) {
	var counter usageCounter
	err := x.agent.Upstream.Stream(ctx, x.engineRequest(ctx), func(data []byte) error {
		counter.add(data)
		x.eventsSent++
		return x.response.Data(data)
	})
	var refused *engine.ResponseError
	if errors.As(err, &refused) {
		x.eventsSent++
		return usage{}, x.response.WholeResponse(dispatch.WholeResponse(refused.Response))
	}
	return counter.usage(), err
}

// call sends a request that is not streamed and returns the upstream's response.
// If the engine rejects a model request with an error in the format of
// internal/errkind, call returns that error instead.
func (x *execution) call(ctx context.Context) (dispatch.WholeResponse, error) {
	w, err := x.agent.Upstream.Do(ctx, x.engineRequest(ctx))
	if err != nil {
		return dispatch.WholeResponse{}, err
	}
	if refusal, ok := engine.DecodeError(w); ok && x.request.Checkpoint != "" {
		return dispatch.WholeResponse{}, refusal
	}
	return dispatch.WholeResponse{Status: w.Status, ContentType: w.ContentType, Body: w.Body}, nil
}

func (x *execution) engineRequest(ctx context.Context) engine.Request {
	r := engine.Request{
		ID:             x.request.Attempt,
		Method:         x.request.Method,
		Path:           x.request.Path,
		ContentType:    x.request.ContentType,
		Body:           x.request.Body,
		IdempotencyKey: x.request.IdempotencyKey,
	}
	if deadline, ok := ctx.Deadline(); ok && !x.request.Stream {
		r.Timeout = time.Until(deadline)
	}
	return r
}

// callOnce runs an at-most-once call, unless the attempt table has already seen
// or fenced the attempt.
func (x *execution) callOnce(ctx context.Context) error {
	runner := attempt.Runner{Table: x.incarnation.Attempts}
	result, err := runner.Run(ctx, newDispatch(x.incarnation, x.request), func(ctx context.Context) (atmostonce.Result, error) {
		w, err := x.call(ctx)
		return atmostonce.Result{Status: w.Status, ContentType: w.ContentType, Body: w.Body}, err
	})
	if err != nil {
		return err
	}
	return x.response.WholeResponse(dispatch.WholeResponse{Status: result.Status, ContentType: result.ContentType, Body: result.Body})
}

func newDispatch(inc *Incarnation, r dispatch.AttemptRequest) attempt.Dispatch {
	return attempt.Dispatch{
		CallID:  atmostonce.CallID{Team: r.Team, Key: r.IdempotencyKey},
		Attempt: r.Attempt,
		Target:  record.InstanceRef{Instance: inc.Self.Instance, Incarnation: r.Incarnation},
	}
}
