package entry

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// forward reserves the tokens, waits for its turn, runs the order and answers
// the caller.
func (e *Entry) forward(ctx context.Context, c *app.RequestContext, k *call, o work.Order, tokens float64) {
	settle, err := e.reserve(ctx, k, tokens)
	if err != nil {
		e.refuse(c, k, err)
		return
	}
	s := newSink(c, e.keyCheck(k), e.stats.firstToken, k.start, o.Stream)
	end, err := e.runInTurn(ctx, k, o, s, tokens)
	if err != nil {
		settle(s.spent(tokens, errkind.From(err)))
		e.fail(c, k, s, errkind.From(err))
		return
	}
	settle(s.charge(o, end, tokens))
	s.finish()
	e.stats.done(k.start, end.CompletionTokens)
	e.Logger.Info("request served", zap.String("request_id", k.id), zap.String("team", k.team),
		zap.String("checkpoint", o.Checkpoint), zap.String("route", o.Route), zap.String("upstream", k.upstream),
		zap.Int("tokens", end.CompletionTokens), zap.Duration("duration", time.Since(k.start)))
}

// runInTurn waits in the queue and runs the order. While all upstreams are
// busy the request goes back into the queue until its deadline (H3).
func (e *Entry) runInTurn(ctx context.Context, k *call, o work.Order, s *sink, tokens float64) (work.End, error) {
	var last error
	for {
		done, err := e.Queue.Wait(ctx, QueuedRequest{Team: k.team, Class: k.class, Deadline: k.deadline, Tokens: tokens})
		if err != nil {
			return work.End{}, firstOf(last, err)
		}
		end, err := e.attempt(ctx, k, o, s)
		if err == nil {
			done(DispatchResult{Tokens: s.charge(o, end, tokens)})
			return end, nil
		}
		refusal := errkind.From(err)
		busy := refusal.Kind == errkind.UpstreamBusy && refusal.Ran == errkind.RanNo
		done(DispatchResult{Tokens: s.spent(tokens, refusal), Busy: busy})
		if !busy || !pause(ctx, refusal.RetryAfter) {
			return work.End{}, err
		}
		last = err
	}
}

// maxBusyPause bounds the wait before a busy upstream is asked again.
const maxBusyPause = 200 * time.Millisecond

// pause waits for d, at most maxBusyPause; false means that ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(min(max(d, time.Millisecond), maxBusyPause))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reserve charges nothing to open routes, which have no team.
func (e *Entry) reserve(ctx context.Context, k *call, tokens float64) (func(float64), error) {
	if k.team == "" {
		return func(float64) {}, nil
	}
	return e.Budget.Reserve(ctx, k.team, tokens)
}

// actual returns the tokens of a completed attempt; an upstream without a
// count is charged the estimate.
func actual(end work.End, estimate float64) float64 {
	if end.PromptTokens+end.CompletionTokens == 0 {
		return estimate
	}
	return float64(end.PromptTokens + end.CompletionTokens)
}

// attempt runs the order at one upstream after another until one has run it.
func (e *Entry) attempt(ctx context.Context, k *call, o work.Order, s *sink) (work.End, error) {
	e.Router.CountRequest()
	var tried []string
	var last error
	mayHaveRun := false
	for len(tried) < maxAttempts {
		choice, err := e.Router.Choose(e.Fleet.View(), o, tried)
		if err != nil {
			return work.End{}, widen(firstOf(last, err), mayHaveRun)
		}
		if s.Check() != nil {
			err := errkind.New(errkind.KeyWithdrawn, "the key was withdrawn before the request was sent to an upstream")
			choice.Done(work.End{}, err)
			return work.End{}, widen(err, mayHaveRun)
		}
		tried = append(tried, choice.Member.Instance)
		k.upstream = choice.Member.Instance
		o.Attempt = uuid.NewString()
		o.Incarnation = choice.Member.Incarnation
		o.Offset = e.Fleet.View().Offset
		o.Timeout = time.Until(k.deadline)
		if o.Timeout <= 0 {
			err := errkind.New(errkind.DeadlineUnmet, "the deadline passed before an upstream took the request")
			choice.Done(work.End{}, err)
			return work.End{}, widen(firstOf(last, err), mayHaveRun)
		}
		end, err := e.Dispatcher.Run(ctx, choice.Member.PeerAddr, o, s)
		choice.Done(end, err)
		if err == nil {
			return end, nil
		}
		last = err
		mayHaveRun = mayHaveRun || errkind.From(err).Ran != errkind.RanNo
		if !e.mayRepeat(o, s, errkind.From(err), len(tried)) {
			e.withhold(ctx, o, choice.Member.Ref(), end.BootID, errkind.From(err))
			return work.End{}, widen(err, mayHaveRun)
		}
	}
	return work.End{}, widen(last, mayHaveRun)
}

// firstOf prefers the failure of an attempt over the lack of another upstream.
func firstOf(last, err error) error {
	if last != nil {
		return last
	}
	return err
}

// widen withdraws the claim "not run" of the last attempt's refusal when an
// earlier attempt may have run (H11).
func widen(err error, mayHaveRun bool) error {
	if !mayHaveRun {
		return err
	}
	return errkind.From(err).MaybeRan()
}

// mayRepeat reports whether another attempt is safe and useful. An attempt
// that may have run is repeated only when its effect can be: a request that
// crashed an upstream is not sent to the next one.
func (e *Entry) mayRepeat(o work.Order, s *sink, err *errkind.Error, attempts int) bool {
	if s.started() {
		return false
	}
	switch err.Kind {
	case errkind.UpstreamCrashed, errkind.DeadlinePassed, errkind.DeadlineUnmet, errkind.InvalidRequest, errkind.KeyWithdrawn:
		return false
	}
	if err.Ran != errkind.RanNo && (!o.Repeatable || attempts > 1) {
		// A second ambiguous failure may be the second upstream that the request
		// has crashed, so it goes to no third one.
		return false
	}
	return e.Router.AllowRetry(attempts)
}

// fail ends an answer that has begun with an error event, so that a cut
// stream never passes for whole (H10); otherwise it is a plain refusal.
func (e *Entry) fail(c *app.RequestContext, k *call, s *sink, err *errkind.Error) {
	if !s.started() {
		e.refuse(c, k, err)
		return
	}
	cut := err.MaybeRan()
	e.record(k, cut)
	s.abort(errkind.NewBody(cut, k.id))
}
