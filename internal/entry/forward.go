package entry

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// forward reserves the tokens, queues the request, runs it and sends the response
// to the caller.
func (e *Entry) forward(ctx context.Context, c *app.RequestContext, info *requestInfo, r dispatch.AttemptRequest, tokens float64) {
	settle, err := e.reserve(ctx, info, tokens)
	if err != nil {
		e.respondError(c, info, err)
		return
	}
	s := newSink(c, e.keyCheck(info), e.stats.firstToken, info.start, r.Stream)
	end, err := e.queueAndRun(ctx, info, r, s, tokens)
	if err != nil {
		settle(s.failureCost(tokens, errkind.From(err)))
		e.fail(c, info, s, errkind.From(err))
		return
	}
	settle(s.successCost(r, end, tokens))
	s.finish()
	e.stats.countServed(info.start, end.CompletionTokens)
	e.Logger.Info("request served", zap.String("request_id", info.id), zap.String("team", info.team),
		zap.String("checkpoint", r.Checkpoint), zap.String("route", r.Route), zap.String("upstream", info.upstream),
		zap.Int("tokens", end.CompletionTokens), zap.Duration("duration", time.Since(info.start)))
}

// queueAndRun waits in the queue and runs the request. While the upstreams are
// busy it queues the request again, until its deadline (H3).
func (e *Entry) queueAndRun(ctx context.Context, info *requestInfo, r dispatch.AttemptRequest, s *sink, tokens float64) (dispatch.End, error) {
	var lastErr error
	for {
		done, err := e.Queue.Wait(ctx, QueuedRequest{Team: info.team, Class: info.class, Deadline: info.deadline, Tokens: tokens})
		if err != nil {
			return dispatch.End{}, attemptErrorOr(lastErr, err)
		}
		end, err := e.runAttempts(ctx, info, r, s)
		if err == nil {
			done(DispatchResult{Tokens: s.successCost(r, end, tokens)})
			return end, nil
		}
		failure := errkind.From(err)
		busy := failure.Kind == errkind.UpstreamBusy && failure.Ran == errkind.RanNo
		done(DispatchResult{Tokens: s.failureCost(tokens, failure), Busy: busy})
		if !busy || !backOff(ctx, failure.RetryAfter) {
			return dispatch.End{}, err
		}
		lastErr = err
	}
}

// maxBusyBackoff bounds the wait before a request that found the upstreams busy
// is queued again.
const maxBusyBackoff = 200 * time.Millisecond

// backOff waits for d, but at least 1 ms and at most maxBusyBackoff. It returns
// false if ctx ended first.
func backOff(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(min(max(d, time.Millisecond), maxBusyBackoff))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reserve reserves the tokens from the team's quota. Requests on open routes,
// which need no API key, have no team and are not charged.
func (e *Entry) reserve(ctx context.Context, info *requestInfo, tokens float64) (func(float64), error) {
	if info.team == "" {
		return func(float64) {}, nil
	}
	return e.Budget.Reserve(ctx, info.team, tokens)
}

// tokensUsed returns the tokens of a completed attempt, or the estimate if the
// upstream reported no count.
func tokensUsed(end dispatch.End, estimate float64) float64 {
	if end.PromptTokens+end.CompletionTokens == 0 {
		return estimate
	}
	return float64(end.PromptTokens + end.CompletionTokens)
}

// runAttempts sends the request to one upstream after another until an attempt
// completes, must not be retried or is the last one allowed.
func (e *Entry) runAttempts(ctx context.Context, info *requestInfo, r dispatch.AttemptRequest, s *sink) (dispatch.End, error) {
	e.Router.CountRequest()
	var tried []string
	var lastErr error
	mayHaveRun := false
	for len(tried) < maxAttempts {
		choice, err := e.Router.Choose(e.Fleet.View(), r, tried)
		if err != nil {
			return dispatch.End{}, withMayHaveRun(attemptErrorOr(lastErr, err), mayHaveRun)
		}
		if s.Check() != nil {
			err := errkind.New(errkind.KeyWithdrawn, "the key was withdrawn before the request was sent to an upstream")
			choice.Done(dispatch.End{}, err)
			return dispatch.End{}, withMayHaveRun(err, mayHaveRun)
		}
		tried = append(tried, choice.Member.Instance)
		info.upstream = choice.Member.Instance
		r.Attempt = uuid.NewString()
		r.Incarnation = choice.Member.Incarnation
		r.Offset = e.Fleet.View().Offset
		r.Timeout = time.Until(info.deadline)
		if r.Timeout <= 0 {
			err := errkind.New(errkind.DeadlineUnmet, "the deadline passed before an upstream took the request")
			choice.Done(dispatch.End{}, err)
			return dispatch.End{}, withMayHaveRun(attemptErrorOr(lastErr, err), mayHaveRun)
		}
		end, err := e.Dispatcher.Run(ctx, choice.Member.PeerAddr, r, s)
		choice.Done(end, err)
		if err == nil {
			return end, nil
		}
		lastErr = err
		mayHaveRun = mayHaveRun || errkind.From(err).Ran != errkind.RanNo
		if !e.shouldRetry(r, s, errkind.From(err), len(tried)) {
			e.withhold(ctx, r, choice.Member.Ref(), end.BootID, errkind.From(err))
			return dispatch.End{}, withMayHaveRun(err, mayHaveRun)
		}
	}
	return dispatch.End{}, withMayHaveRun(lastErr, mayHaveRun)
}

// attemptErrorOr returns the error of an earlier attempt if there is one, else
// err. The earlier error says why the attempt failed, whereas err says only that
// no further attempt was possible.
func attemptErrorOr(lastErr, err error) error {
	if lastErr != nil {
		return lastErr
	}
	return err
}

// withMayHaveRun marks err as "may have run" if an earlier attempt may have run,
// even when the last attempt did not (H11).
func withMayHaveRun(err error, mayHaveRun bool) error {
	if !mayHaveRun {
		return err
	}
	return errkind.From(err).WithRanUnknown()
}

// shouldRetry reports whether another attempt is safe and useful. It never
// retries a request that crashed an upstream. It retries an attempt that may have
// run only if the request is repeatable, and only once.
func (e *Entry) shouldRetry(r dispatch.AttemptRequest, s *sink, err *errkind.Error, attempts int) bool {
	if s.started() {
		return false
	}
	switch err.Kind {
	case errkind.UpstreamCrashed, errkind.DeadlinePassed, errkind.DeadlineUnmet, errkind.InvalidRequest, errkind.KeyWithdrawn:
		return false
	}
	if err.Ran != errkind.RanNo && (!r.Repeatable || attempts > 1) {
		// After two attempts that may have run, the request may have crashed two
		// upstreams, so it is not sent to a third one.
		return false
	}
	return e.Router.AllowRetry(attempts)
}

// fail reports the error to the caller. If the response has started, fail ends it
// with an error event, so that the caller does not mistake the truncated stream
// for a complete one (H10).
func (e *Entry) fail(c *app.RequestContext, info *requestInfo, s *sink, err *errkind.Error) {
	if !s.started() {
		e.respondError(c, info, err)
		return
	}
	cut := err.WithRanUnknown()
	e.recordFailure(info, cut)
	s.abort(errkind.NewBody(cut, info.id))
}
