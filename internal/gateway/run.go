package gateway

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/waitpolicy"
)

// Limits for the attempts of one request.
const (
	// maxDeliveries limits how many times one request is sent to an upstream,
	// including upstreams that state that they did not run it. The route's
	// MaxAttempts limits the upstreams that may run it.
	maxDeliveries = 6
	// minRemaining is the remaining time below which no further attempt can
	// succeed: a round trip and the shortest processing time.
	minRemaining = 40 * time.Millisecond
	// defaultRetryAfter is sent to callers when there is no better estimate.
	defaultRetryAfter = 500 * time.Millisecond
)

// run sends the request to upstreams until one serves it or nothing is left to try.
func (r *request) run(ctx context.Context) {
	ctx, cancelRun := context.WithCancel(ctx)
	defer cancelRun()
	defer context.AfterFunc(r.g.ending, cancelRun)()
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.g.exiting, cancel)()
	for {
		if r.endIfDone(ctx) || r.refuseIfExiting() || r.refuseIfQuarantined() {
			return
		}
		r.query.ResponseStarted = r.writer.started
		choice, unavailable := r.g.Pool.Pick(&r.query)
		if choice == nil {
			var again bool
			if choice, again = r.overcome(waitCtx, unavailable); choice == nil {
				if again {
					continue
				}
				return
			}
		}
		r.requestReplica(choice.Replica)
		if choice.NeedsLoad {
			switch r.loadModel(waitCtx, choice) {
			case loaded:
			case notLoaded:
				r.query.Tried[choice.Upstream.ID] = true
				continue
			case loadTooSlow:
				return
			}
		}
		if choice.NeedsPermit && !choice.Permitted && !r.takePermit(waitCtx, choice, 0) {
			continue
		}
		if r.endIfDone(ctx) || r.refuseIfExiting() || r.refuseIfQuarantined() {
			return
		}
		ticket, unavailable := r.g.Pool.Begin(choice, &r.query)
		if ticket == nil {
			if _, again := r.overcome(waitCtx, unavailable); !again {
				return
			}
			continue
		}
		if !r.allowDelivery() {
			ticket.End(upstream.Abandoned)
			r.fail("the retry budget is used up", defaultRetryAfter)
			return
		}
		if r.attempt(ctx, choice, ticket) == finished {
			return
		}
		if r.possibleRuns >= r.route.MaxAttempts || r.possibleRuns > 0 && !r.route.Retryable() {
			r.fail("all attempts failed", 0)
			return
		}
	}
}

// endIfDone ends a request whose deadline has passed or whose caller has
// disconnected, and reports whether it did.
func (r *request) endIfDone(ctx context.Context) bool {
	if ctx.Err() == nil && r.remaining() > 0 {
		return false
	}
	if r.callerCtx.Err() != nil {
		r.callerDisconnected()
		return true
	}
	if r.remaining() > 0 {
		// The instance ends before the deadline.
		r.fail(reasonExiting, drainingRetryAfter)
		return true
	}
	switch {
	case r.writer.started:
		r.abortStream("the deadline has passed")
	case r.fallback != nil:
		r.sendFallback()
	case r.possibleRuns > 0:
		r.refuse(errkind.New(errkind.DeadlinePassed, "the deadline has passed; an upstream may have run the request"))
	default:
		r.refuse(errkind.New(errkind.UpstreamUnavailable, "the deadline has passed and the request has not run"))
	}
	return true
}

// reasonExiting is why a draining instance ends requests.
const reasonExiting = "the instance is shutting down"

// refuseIfExiting ends a request that still waits when the instance is about to
// exit, and reports whether it did.
func (r *request) refuseIfExiting() bool {
	switch {
	case r.g.exiting.Err() == nil:
		return false
	case r.writer.started || r.fallback != nil || r.possibleRuns > 0:
		r.fail(reasonExiting, 0)
	default:
		r.refuse(errkind.New(errkind.Draining, reasonExiting).WithRetryAfter(drainingRetryAfter))
	}
	return true
}

// callerDisconnected ends a request whose caller has disconnected. It sends no
// response, since nobody would read it.
func (r *request) callerDisconnected() {
	const statusClientClosedRequest = 499
	r.status, r.kind, r.reason = statusClientClosedRequest, errkind.DeadlinePassed, "the caller disconnected"
	if r.writer.started {
		_ = r.writer.abort()
	}
}

// abortStream closes the caller's connection in the middle of a stream.
func (r *request) abortStream(reason string) {
	r.kind, r.reason = errkind.StreamCut, reason
	if err := r.writer.abort(); err != nil {
		r.g.Logger.Debug("cannot close the connection of an aborted stream", r.requestIDField(), telemetry.Err(err))
	}
}

// fail ends a request that cannot be served. It aborts a stream that has started;
// otherwise it sends the fallback response if there is one, or else refuses the
// request. It sends retryAfter only if no upstream may have run the request.
func (r *request) fail(reason string, retryAfter time.Duration) {
	switch {
	case r.writer.started:
		r.abortStream(reason)
	case r.fallback != nil:
		r.sendFallback()
	case r.possibleRuns > 0:
		r.refuse(errkind.New(errkind.UpstreamFailed, reason))
	default:
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		r.refuse(errkind.New(errkind.UpstreamUnavailable, reason).WithRetryAfter(r.retryAfter(retryAfter)))
	}
}

// waiting describes the request to waitpolicy. The caller of a stream leaves if no event
// arrives in time, counted from the last one.
func (r *request) waiting() waitpolicy.Request {
	w := waitpolicy.Request{Start: r.start, Deadline: r.deadline, Point: float64(xxhash.Sum64String(r.attrs.RequestID)) / math.MaxUint64}
	if r.route.Kind == fleet.Streaming {
		w.Patience = maxEventGap(r.route)
		if r.writer.started {
			w.Start = r.lastEventAt
		}
	}
	return w
}

func (r *request) retryAfter(eta time.Duration) time.Duration {
	return waitpolicy.RetryAfter(r.waiting(), eta)
}

// allowDelivery reports whether the request may be sent to an upstream now. It
// charges every delivery after the first to the service's retry budget.
func (r *request) allowDelivery() bool {
	if r.deliveries == 0 {
		return true
	}
	return r.deliveries < maxDeliveries && r.remaining() > minRemaining && r.g.RetryBudget.AllowRetry(r.query.Service)
}

func (r *request) requestIDField() zap.Field { return zap.String("request", r.attrs.RequestID) }

// forwardAttributes returns the values that the gateway adds to the forwarded
// request.
func (r *request) forwardAttributes(choice *upstream.Choice) fleet.ForwardAttributes {
	f := fleet.ForwardAttributes{Timeout: r.remaining(), Instance: choice.Upstream.ID, ResumeAfter: r.attrs.ResumeAfter}
	if r.team != nil {
		f.Team = r.team.Name
	}
	if r.query.Model != "" {
		f.Urgency, f.HasUrgency = r.urgency(), true
	}
	if r.resumeAfter != "" {
		f.ResumeAfter, f.WeightsVersion = r.resumeAfter, r.weightsVersion
	}
	return f
}
