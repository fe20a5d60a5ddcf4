package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/exchange"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// maxWholeBytes bounds an answer that is read whole before it is passed on.
const maxWholeBytes = 8 << 20

// attempt sends the request to one upstream and passes its answer on.
func (x *call) attempt(ctx context.Context, choice *upstream.Choice, ticket *upstream.Ticket) next {
	id := choice.Upstream.ID
	x.query.Tried[id] = true
	x.upstreams = append(x.upstreams, id)
	x.expected = choice.Delay
	if x.firstSent.IsZero() {
		x.firstSent = time.Now()
	}
	w := x.newWatch(ctx, id)
	defer w.stop()
	resp, err := x.g.Exchange.Do(w.ctx, choice.Upstream.Addr, &exchange.Request{
		Method: x.method, URI: x.uri, Host: x.host, Header: x.g.Dialect.ForwardHeader(x.header, x.forward(choice)),
		Body: x.body, ID: x.attrs.RequestID, FreshConn: !x.route.Retryable(),
	})
	if err != nil {
		return x.failed(ctx, w, choice, ticket, err)
	}
	x.arrivals++
	w.headCame()
	answer := x.g.Dialect.Answer(resp.Header)
	ticket.Answered(answer)
	if answer.NotExecuted || resp.Status == http.StatusMisdirectedRequest {
		return x.turnedAway(choice, ticket, resp, answer)
	}
	x.ran++
	if resp.Status/100 == 2 && x.route.Kind == fleet.Streaming && answer.Stamped && !answer.Encoded {
		return x.stream(ctx, w, choice, ticket, resp, answer)
	}
	return x.whole(ctx, w, choice, ticket, resp, answer)
}

// failed handles an exchange without an answer.
func (x *call) failed(ctx context.Context, w *watch, choice *upstream.Choice, ticket *upstream.Ticket, err error) next {
	var f *exchange.Failure
	notSent := errors.As(err, &f) && f.Stage == exchange.NotSent
	if !notSent {
		x.arrivals++
		x.ran++
	}
	switch {
	case ctx.Err() != nil:
		if x.caller.Err() == nil && !notSent {
			// The time is up and no head has come.
			ticket.End(upstream.Stalled)
		} else {
			ticket.End(upstream.Abandoned)
		}
		x.ended(ctx)
		return finished
	case w.stalled():
		err = errStalled
		ticket.End(upstream.Stalled)
	case notSent:
		ticket.End(upstream.Unreachable)
	default:
		ticket.End(upstream.Broken)
	}
	x.g.Stats.attempt("failed")
	x.g.Logger.Warn("attempt failed", x.idField(), zap.String("upstream", choice.Upstream.ID), telemetry.Err(err),
		zap.Duration("left", x.left()))
	return again
}

// turnedAway handles an upstream's statement that it did not run the request.
func (x *call) turnedAway(choice *upstream.Choice, ticket *upstream.Ticket, resp *exchange.Response, a fleet.ResponseAttributes) next {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWholeBytes))
	resp.Close(err == nil)
	other := a.Instance != "" && a.Instance != choice.Upstream.ID
	if resp.Status == http.StatusMisdirectedRequest && !other && x.query.Model != "" {
		// The upstream lacks the model; it can be loaded there and tried again.
		x.g.Pool.Missing(choice.Upstream.ID, x.query.Model, x.query.Adapter)
		delete(x.query.Tried, choice.Upstream.ID)
	}
	outcome := upstream.Refused
	if other {
		outcome = upstream.Replaced
	}
	ticket.End(outcome)
	x.g.Stats.attempt("refused")
	x.g.Logger.Info("upstream did not run the request", x.idField(), zap.String("upstream", choice.Upstream.ID),
		zap.Int("status", resp.Status), zap.String("answered_by", a.Instance), zap.Int("waiting", a.Waiting))
	return again
}

// whole reads an answer to its end before it passes it on, so that a broken
// one can be repeated.
func (x *call) whole(ctx context.Context, w *watch, choice *upstream.Choice, ticket *upstream.Ticket, resp *exchange.Response, a fleet.ResponseAttributes) next {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeBytes+1))
	if err == nil && len(body) > maxWholeBytes {
		err = errors.Errorf("the answer is longer than %d bytes", maxWholeBytes)
	}
	resp.Close(err == nil)
	if err == nil && (a.Encoded || resp.Status/100 == 2 && !a.Stamped) {
		err = errors.New("the answer does not bear the upstream's signature, or has an encoding")
	}
	if err != nil {
		x.ran--
		x.arrivals--
		return x.failed(ctx, w, choice, ticket, &exchange.Failure{Stage: exchange.BadResponse, Err: err})
	}
	if x.sink.begun {
		ticket.End(upstream.Errored)
		x.cut("the upstream did not go on with the stream")
		return finished
	}
	held := &heldAnswer{status: resp.Status, header: x.g.Dialect.AnswerHeader(resp.Header), body: body}
	if resp.Status < http.StatusInternalServerError {
		ticket.End(upstream.Served)
		x.pass(held)
		return finished
	}
	ticket.End(upstream.Errored)
	x.g.Stats.attempt("error")
	x.g.Logger.Info("upstream answered with an error", x.idField(), zap.String("upstream", choice.Upstream.ID), zap.Int("status", resp.Status))
	x.held = held
	return again
}

// pass gives a whole answer to the caller.
func (x *call) pass(h *heldAnswer) {
	x.status = h.status
	if h.status >= http.StatusInternalServerError {
		x.kind, x.reason = errkind.UpstreamFailed, "the upstream's own error"
	}
	setHeader(x.c, h.status, h.header)
	x.c.Response.SetBody(h.body)
}

func (x *call) passHeld() { x.pass(x.held) }

// stream passes events on as they arrive.
func (x *call) stream(ctx context.Context, w *watch, choice *upstream.Choice, ticket *upstream.Ticket, resp *exchange.Response, a fleet.ResponseAttributes) next {
	if x.version == "" {
		x.version = a.WeightsVersion
	}
	header := x.g.Dialect.AnswerHeader(resp.Header)
	buf := make([]byte, streamBufferBytes)
	for {
		n, readErr := resp.Body.Read(buf)
		if n > 0 {
			w.note()
			ticket.Heard()
		}
		events, err := x.events.Add(buf[:n])
		if len(events) > 0 {
			x.beginStream(resp.Status, header)
			if err := x.sink.write(events); err != nil {
				resp.Close(false)
				ticket.End(upstream.Abandoned)
				x.gone()
				return finished
			}
		}
		if err == nil {
			err = readErr
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !x.events.Partial() {
			resp.Close(true)
			ticket.End(upstream.Served)
			x.beginStream(resp.Status, header)
			return finished
		}
		resp.Close(false)
		return x.broken(ctx, w, choice, ticket, err)
	}
}

// streamBufferBytes holds several events of a stream.
const streamBufferBytes = 2 << 10

func (x *call) beginStream(status int, header http.Header) {
	if x.sink.begun {
		return
	}
	x.status, x.firstByte = status, time.Now()
	x.g.Stats.firstByte.UpdateDuration(x.start)
	x.sink.begin(status, header)
}

// broken handles a stream that ended before it was complete.
func (x *call) broken(ctx context.Context, w *watch, choice *upstream.Choice, ticket *upstream.Ticket, err error) next {
	if ctx.Err() != nil {
		ticket.End(upstream.Abandoned)
		x.ended(ctx)
		return finished
	}
	outcome := upstream.Broken
	if w.stalled() {
		err, outcome = errStalled, upstream.Stalled
	}
	ticket.End(outcome)
	x.g.Stats.attempt("broken")
	x.g.Logger.Warn("stream broke", x.idField(), zap.String("upstream", choice.Upstream.ID), zap.Int("events", x.events.Events), telemetry.Err(err))
	x.events.Reset()
	if x.route.Resumable && x.events.Events > 0 {
		x.resumeAfter = x.events.LastID
	}
	if x.sink.begun && (!x.route.Resumable || x.resumeAfter == "") {
		x.cut("the stream broke and cannot be resumed")
		return finished
	}
	return again
}
