package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/upstreamclient"
)

// maxBufferedBytes limits the body of a response that is read to its end before
// it is sent to the caller.
const maxBufferedBytes = clientbudget.MaxResponseBytes

// errBrokenOff is the error of a response that ends with its connection, where nothing shows that
// it is whole: its upstream may have ended, or no event of a stream has come.
var errBrokenOff = errors.Wrap(io.ErrUnexpectedEOF, "the response has no length and may have been broken off")

// attempt sends the request to one upstream and relays its response.
func (r *request) attempt(ctx context.Context, choice *upstream.Choice, ticket *upstream.Ticket) attemptResult {
	id := choice.Upstream.ID
	r.query.Tried[id] = true
	r.eventsBefore = r.events.Events
	r.crashFinding = "not checked"
	again := slices.Contains(r.upstreams, id)
	r.upstreams, r.versions = append(r.upstreams, id), append(r.versions, choice.Upstream.Version)
	r.estimatedTTFT = choice.Delay
	r.progress = attemptProgress{sentAt: time.Now(), estimate: ticket.Estimate()}
	if r.firstSentAt.IsZero() {
		r.firstSentAt = time.Now()
	}
	// Has an effect only if the attempt panics.
	defer ticket.End(upstream.Abandoned)
	detector := r.newStallDetector(ctx, id, ticket)
	defer detector.stop()
	resp, err := r.g.UpstreamClient.Do(detector.ctx, choice.Upstream.Addr, &upstreamclient.Request{
		Method: r.method, URI: r.uri, Host: r.host, Header: r.g.Dialect.ForwardHeader(r.header, r.forwardAttributes(choice)),
		Body: r.body, ID: r.attrs.RequestID, FreshConn: !r.route.Retryable(), NewConn: again,
	})
	if err != nil {
		return r.attemptFailed(ctx, detector, choice, ticket, err)
	}
	r.deliveries++
	detector.headerReceived()
	attrs := r.g.Dialect.Answer(resp.Header)
	if before := ticket.HeadersReceived(attrs); before != attrs.RateLimit {
		r.g.Logger.Info("upstream changed its rate limit", r.requestIDField(), zap.String("upstream", id),
			zap.Float64("per_second", attrs.RateLimit), zap.Float64("before", before))
	}
	leaves, pause := ticket.Announced(resp.Status, attrs)
	if leaves {
		r.g.Logger.Info("upstream says that it leaves", r.requestIDField(), zap.String("upstream", id))
	}
	if pause > 0 {
		r.g.Logger.Info("upstream wants no requests for a while", r.requestIDField(), zap.String("upstream", id), zap.Duration("pause", pause))
	}
	r.learnSpeed(choice, ticket, resp.Status, attrs)
	if attrs.NotExecuted || resp.Status == http.StatusMisdirectedRequest {
		return r.notExecuted(ctx, detector, choice, ticket, resp, attrs)
	}
	r.possibleRuns++
	if resp.Status/100 == 2 && r.route.Kind == fleet.Streaming && attrs.Stamped && !attrs.Encoded {
		return r.relayStream(ctx, detector, choice, ticket, resp, attrs)
	}
	r.countRun()
	return r.relayBuffered(ctx, detector, choice, ticket, resp, attrs)
}

// countRun counts that an upstream has begun to run the request. An attempt whose response never came
// is not counted: an engine that ends or freezes has usually not come to the first token, and a plain
// call without a response has usually not arrived.
func (r *request) countRun() {
	if r.g.Runs != nil && r.team != nil {
		r.g.Runs.Ran(r.team.Name)
	}
}

// attemptFailed handles an attempt without a valid response.
func (r *request) attemptFailed(ctx context.Context, detector *stallDetector, choice *upstream.Choice, ticket *upstream.Ticket, err error) attemptResult {
	var f *upstreamclient.Failure
	notSent := errors.As(err, &f) && f.Stage == upstreamclient.NotSent
	var crashed *crash
	if !notSent && ctx.Err() == nil {
		crashed = r.findCrash(ctx, choice.Upstream, err)
	}
	if !notSent {
		r.deliveries++
		r.possibleRuns++
	}
	switch {
	case notSent:
		r.recordRefusedConnection(choice.Upstream, err)
	case ctx.Err() != nil || detector.stalled():
		r.givenUp(choice)
	}
	switch {
	case ctx.Err() != nil:
		if r.callerCtx.Err() == nil && r.g.ending.Err() == nil && !notSent {
			// The deadline passed before the response header came.
			ticket.End(upstream.Stalled)
		} else {
			ticket.End(upstream.Abandoned)
		}
		r.endIfDone(ctx)
		return finished
	case detector.stalled():
		err = errStalled
		ticket.End(upstream.Stalled)
	case notSent || crashed != nil:
		ticket.End(upstream.Unreachable)
	default:
		ticket.End(upstream.Broken)
	}
	r.g.Stats.countAttempt("failed")
	r.g.Logger.Warn("attempt failed", r.interruptionFields(choice, err, !notSent, crashed != nil, zap.Duration("left", r.remaining()))...)
	return r.afterCrash(crashed)
}

// notExecuted handles a response which states that the upstream did not run the
// request. One whose body is not valid states nothing.
func (r *request) notExecuted(ctx context.Context, detector *stallDetector, choice *upstream.Choice, ticket *upstream.Ticket, resp *upstreamclient.Response, a fleet.ResponseAttributes) attemptResult {
	if err := resp.Discard(); err != nil && detector.ctx.Err() == nil {
		// attemptFailed counts this attempt again.
		r.deliveries--
		return r.attemptFailed(ctx, detector, choice, ticket, &upstreamclient.Failure{Stage: upstreamclient.BadResponse, Err: err})
	}
	otherInstance := a.Instance != "" && a.Instance != choice.Upstream.ID
	missing := resp.Status == http.StatusMisdirectedRequest || resp.Status == http.StatusServiceUnavailable && a.HasLoad && a.Waiting == 0 && a.RetryAfter == 0
	if missing && !otherInstance && r.query.Model != "" {
		// The upstream does not have the model loaded, or is unloading it: one that is
		// not full refuses only then. It may be picked again, to load the model there.
		r.g.Pool.MarkMissing(choice.Upstream.ID, r.query.Model, r.query.Adapter)
		delete(r.query.Tried, choice.Upstream.ID)
	}
	outcome := upstream.Refused
	if otherInstance {
		ticket.AnsweredBy(a)
		outcome = upstream.Replaced
	}
	ticket.End(outcome)
	r.g.Stats.countAttempt("refused")
	r.g.Logger.Info("upstream did not run the request", r.requestIDField(), zap.String("upstream", choice.Upstream.ID),
		zap.Int("status", resp.Status), zap.String("answered_by", a.Instance), zap.Int("waiting", a.Waiting))
	return retry
}

// relayBuffered reads a response to its end before it sends it to the caller, so
// that the request can be retried if the response is truncated or invalid.
func (r *request) relayBuffered(ctx context.Context, detector *stallDetector, choice *upstream.Choice, ticket *upstream.Ticket, resp *upstreamclient.Response, a fleet.ResponseAttributes) attemptResult {
	body, err := r.readBody(ctx, resp, detector)
	resp.Close(err == nil)
	if err == nil {
		ticket.DataReceived(body.size)
	}
	if errors.Is(err, errBuffersFull) {
		return r.buffersFull(choice, ticket)
	}
	if err == nil && !resp.Framed && !r.endedWhole(ctx, choice.Upstream) {
		err = errBrokenOff
	}
	if err == nil && (a.Encoded || resp.Status/100 == 2 && !a.Stamped) {
		err = errors.New("the response lacks the upstream's stamp or has a content encoding")
	}
	if err != nil {
		// attemptFailed counts this attempt again.
		r.possibleRuns--
		r.deliveries--
		return r.attemptFailed(ctx, detector, choice, ticket, &upstreamclient.Failure{Stage: upstreamclient.BadResponse, Err: err})
	}
	if r.writer.started {
		ticket.End(upstream.Errored)
		r.abortStream("the upstream did not resume the stream")
		return finished
	}
	buffered := &bufferedResponse{status: resp.Status, header: r.g.Dialect.AnswerHeader(resp.Header), body: body}
	if resp.Status < http.StatusInternalServerError {
		ticket.End(upstream.Served)
		r.sendBuffered(buffered)
		if resp.Status/100 == 2 {
			r.recordComplete(choice, resp)
		}
		return finished
	}
	ticket.End(upstream.Errored)
	r.g.Stats.countAttempt("error")
	r.g.Logger.Info("upstream answered with an error", r.requestIDField(), zap.String("upstream", choice.Upstream.ID), zap.Int("status", resp.Status))
	r.fallback = buffered
	r.buffers.reserve(r.heldBytes(), true)
	return retry
}

// readBody reads the body of a response to its end. The request holds the body's part of the buffer
// budget until it ends.
func (r *request) readBody(ctx context.Context, resp *upstreamclient.Response, detector *stallDetector) (*responseBody, error) {
	body := &responseBody{}
	if err := r.readInto(ctx, body, resp, detector); err != nil {
		r.buffers.reserve(r.heldBytes(), true)
		return nil, err
	}
	r.buffers.complete()
	return body, nil
}

func (r *request) readInto(ctx context.Context, body *responseBody, resp *upstreamclient.Response, detector *stallDetector) error {
	longest, known := int64(maxBufferedBytes), false
	if resp.Length >= 0 && resp.Body != http.NoBody {
		if resp.Length > longest {
			return errors.Errorf("the response body is longer than %d bytes", longest)
		}
		longest, known = resp.Length, true
		// A response that has its whole memory before it is read holds nothing while it waits.
		if err := r.reserveBuffers(ctx, detector, int(longest), true); err != nil {
			return err
		}
	}
	var beyond [1]byte
	for {
		full := int64(body.size) == longest
		space := body.space()
		switch {
		case full:
			// Only the end is still to come.
			space = beyond[:]
		case space == nil:
			segment := body.nextSegment(longest - int64(body.size))
			if !known {
				if err := r.reserveBuffers(ctx, detector, body.capacity+segment, false); err != nil {
					return err
				}
			}
			body.grow(segment)
			space = body.space()
		}
		n, err := resp.Body.Read(space)
		if full && n > 0 {
			return errors.Errorf("the response body is longer than %d bytes", longest)
		}
		body.advance(n)
		detector.bodyReceived(n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// buffersFull ends a request whose response does not fit into the buffers of this
// instance. The upstream is sound, so the attempt does not count against it.
func (r *request) buffersFull(choice *upstream.Choice, ticket *upstream.Ticket) attemptResult {
	ticket.End(upstream.Abandoned)
	r.g.Stats.countAttempt("buffers_full")
	r.g.Logger.Warn("attempt failed", r.requestIDField(), zap.String("upstream", choice.Upstream.ID), telemetry.Err(errBuffersFull))
	r.fail(errBuffersFull.Error(), 0)
	return finished
}

// sendBuffered sends a complete response to the caller.
func (r *request) sendBuffered(b *bufferedResponse) {
	r.status = b.status
	if b.status >= http.StatusInternalServerError {
		r.kind, r.reason = errkind.UpstreamFailed, "the upstream answered with an error"
	}
	setHeader(r.c, b.status, b.header)
	if b.body.size <= maxUncountedBytes {
		r.c.Response.SetBodyRaw(b.body.bytes())
		return
	}
	w := &sizedBodyWriter{response: &r.c.Response, w: r.c.GetWriter(), left: b.body.size}
	r.c.Response.HijackWriter(w)
	for i, segment := range b.body.segments {
		_, err := w.Write(segment)
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			r.callerDisconnected()
			return
		}
		b.body.segments[i] = nil
	}
}

// maxUncountedBytes is the longest body that may wait for a slow caller outside the buffer budget.
// The connections of an instance bound what such bodies take.
const maxUncountedBytes = 16 << 10

func (r *request) sendFallback() { r.sendBuffered(r.fallback) }
