package agent

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/admit"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// serveAttempt runs one attempt. An error before the attempt starts is an ordinary
// HTTP error response that says "not run"; a later error is sent as an event of
// the response stream.
func (a *Agent) serveAttempt(ctx context.Context, c *app.RequestContext) {
	r, err := dispatch.ReadAttemptRequest(c)
	if err != nil {
		peer.WriteError(c, errkind.From(err), "")
		return
	}
	if !a.Lifecycle.Begin() {
		peer.WriteError(c, errkind.New(errkind.Draining, "this agent is shutting down"), "")
		return
	}
	defer a.Lifecycle.End()
	inc, ticket, err := a.admit(r)
	if err != nil {
		peer.WriteError(c, errkind.From(err), "")
		return
	}
	ctx, cancel := context.WithTimeout(attemptContext(ctx, r), r.Timeout)
	defer cancel()
	if !r.Once {
		a.running.Store(r.Attempt, cancel)
		defer a.running.Delete(r.Attempt)
	}
	response := dispatch.StartResponse(c, r.Attempt, inc.Reporter.BootID())
	defer response.Stop()
	a.run(ctx, inc, ticket, r, response)
}

// attemptContext returns the context that the attempt runs in. An at-most-once call
// continues when its entry instance disconnects, because its result must be
// recorded.
func attemptContext(ctx context.Context, r dispatch.AttemptRequest) context.Context {
	if r.Once {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

// admit takes a slot of the limiter for the attempt, or returns an error before
// any work starts. It refuses a request for another incarnation, because only the
// attempt table of that incarnation records whether the attempt has run.
func (a *Agent) admit(r dispatch.AttemptRequest) (*Incarnation, admit.Ticket, error) {
	inc := a.Current()
	if inc == nil {
		return nil, admit.Ticket{}, errkind.New(errkind.ViewStale, "this agent has not joined the fleet yet")
	}
	if r.Incarnation != inc.Self.Incarnation {
		return nil, admit.Ticket{}, errkind.New(errkind.UpstreamUnavailable, "the attempt request is for another incarnation of "+inc.Self.Instance)
	}
	ticket, err := inc.Limiter.Admit()
	if err != nil && r.Once {
		// Fence the attempt, so that a late duplicate of the request does not run
		// after this refusal.
		inc.Attempts.Refuse(newDispatch(inc, r))
	}
	return inc, ticket, err
}

func (a *Agent) run(ctx context.Context, inc *Incarnation, ticket admit.Ticket, r dispatch.AttemptRequest, response *dispatch.ResponseWriter) {
	start := time.Now()
	a.attempts.Inc()
	x := execution{agent: a, incarnation: inc, request: r, response: response}
	u, err := x.execute(ctx)
	inc.Limiter.Done(ticket, outcome(ctx, err))
	a.seconds.UpdateDuration(start)
	if err != nil {
		a.fail(r, response, errkind.From(err))
		return
	}
	inFlight, limit := inc.Limiter.InFlight()
	_ = response.End(dispatch.End{
		Attempt:          r.Attempt,
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		InFlight:         inFlight,
		Limit:            limit,
		Offset:           a.Fleet.View().Offset,
	})
}

func (a *Agent) fail(r dispatch.AttemptRequest, response *dispatch.ResponseWriter, e *errkind.Error) {
	a.Logger.Info("attempt failed", zap.String("attempt", r.Attempt), zap.String("team", r.Team),
		zap.String("checkpoint", r.Checkpoint), zap.String("route", r.Route), zap.String("kind", string(e.Kind)),
		zap.String("ran", string(e.Ran)), zap.String("message", e.Error()))
	_ = response.Error(e)
}

// outcome classifies the attempt for the limiter. A failure after the attempt's
// deadline or cancellation says nothing about the upstream.
func outcome(ctx context.Context, err error) admit.Outcome {
	switch {
	case err == nil:
		return admit.Completed
	case ctx.Err() == nil && upstreamBroke(errkind.From(err)):
		return admit.Broken
	default:
		return admit.Abandoned
	}
}

func upstreamBroke(e *errkind.Error) bool {
	return e.Kind == errkind.UpstreamFailed || e.Kind == errkind.StreamCut || e.Kind == errkind.UpstreamCrashed
}
