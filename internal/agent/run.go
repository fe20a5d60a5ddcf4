package agent

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/admit"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// serveWork runs one attempt. An error before the attempt starts is an ordinary
// HTTP error response that says "not run"; a later error is sent as an event of
// the response stream.
func (a *Agent) serveWork(ctx context.Context, c *app.RequestContext) {
	o, err := work.ReadAttemptRequest(c)
	if err != nil {
		peer.WriteError(c, errkind.From(err), "")
		return
	}
	if !a.Lifecycle.Begin() {
		peer.WriteError(c, errkind.New(errkind.Draining, "this agent is shutting down"), "")
		return
	}
	defer a.Lifecycle.End()
	inc, ticket, err := a.admit(o)
	if err != nil {
		peer.WriteError(c, errkind.From(err), "")
		return
	}
	ctx, cancel := context.WithTimeout(attemptContext(ctx, o), o.Timeout)
	defer cancel()
	if !o.Once {
		a.running.Store(o.Attempt, cancel)
		defer a.running.Delete(o.Attempt)
	}
	answer := work.StartResponse(c, o.Attempt, inc.Reporter.BootID())
	defer answer.Stop()
	a.run(ctx, inc, ticket, o, answer)
}

// attemptContext returns the context that the attempt runs in. An at-most-once call
// continues when its entry instance disconnects, because its outcome has to be
// known.
func attemptContext(ctx context.Context, o work.AttemptRequest) context.Context {
	if o.Once {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

// admit takes a slot of the limiter for the order, or returns an error before any
// work starts. It refuses an order for another incarnation, because only the
// attempt table of that incarnation records whether the order has run.
func (a *Agent) admit(o work.AttemptRequest) (*Incarnation, admit.Ticket, error) {
	inc := a.Current()
	if inc == nil {
		return nil, admit.Ticket{}, errkind.New(errkind.ViewStale, "this agent has not joined the fleet yet")
	}
	if o.Incarnation != inc.Self.Incarnation {
		return nil, admit.Ticket{}, errkind.New(errkind.UpstreamUnavailable, "the order is for another incarnation of "+inc.Self.Instance)
	}
	ticket, err := inc.Limiter.Admit()
	if err != nil && o.Once {
		// Fence the attempt, so that a late duplicate of the order does not run
		// after this refusal.
		inc.Attempts.Refuse(newDispatch(inc, o))
	}
	return inc, ticket, err
}

func (a *Agent) run(ctx context.Context, inc *Incarnation, ticket admit.Ticket, o work.AttemptRequest, answer *work.ResponseWriter) {
	start := time.Now()
	a.attempts.Inc()
	x := execution{agent: a, incarnation: inc, order: o, answer: answer}
	u, err := x.execute(ctx)
	inc.Limiter.Done(ticket, outcome(ctx, err))
	a.seconds.UpdateDuration(start)
	if err != nil {
		a.fail(o, answer, errkind.From(err))
		return
	}
	inFlight, limit := inc.Limiter.InFlight()
	_ = answer.End(work.End{
		Attempt:          o.Attempt,
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		InFlight:         inFlight,
		Limit:            limit,
		Offset:           a.Fleet.View().Offset,
	})
}

func (a *Agent) fail(o work.AttemptRequest, answer *work.ResponseWriter, e *errkind.Error) {
	a.Logger.Info("attempt failed", zap.String("attempt", o.Attempt), zap.String("team", o.Team),
		zap.String("checkpoint", o.Checkpoint), zap.String("route", o.Route), zap.String("kind", string(e.Kind)),
		zap.String("ran", string(e.Ran)), zap.String("message", e.Error()))
	_ = answer.Error(e)
}

// outcome classifies the attempt for the limiter. A failure after the order's
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
