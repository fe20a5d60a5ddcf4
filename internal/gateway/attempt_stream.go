package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/upstreamclient"
)

// relayStream sends events to the caller as they arrive.
func (r *request) relayStream(ctx context.Context, detector *stallDetector, choice *upstream.Choice, ticket *upstream.Ticket, resp *upstreamclient.Response, a fleet.ResponseAttributes) attemptResult {
	if r.weightsVersion == "" {
		r.weightsVersion = a.WeightsVersion
	}
	header := r.g.Dialect.AnswerHeader(resp.Header)
	buf := make([]byte, streamBufferBytes)
	counted := false
	for {
		n, readErr := resp.Body.Read(buf)
		if n > 0 {
			detector.dataReceived()
			ticket.DataReceived(n)
		}
		if err := r.reserveBuffers(ctx, detector, r.events.CapacityFor(n)-r.events.CapacityFor(0), false); err != nil {
			resp.Close(false)
			if errors.Is(err, errBuffersFull) {
				return r.buffersFull(choice, ticket)
			}
			return r.streamInterrupted(ctx, detector, choice, ticket, err)
		}
		before := r.events.Events
		events, err := r.events.Add(buf[:n])
		if len(events) > 0 {
			detector.eventReceived()
			r.eventsReceived(ticket, r.events.Events-before)
			if !counted {
				counted = true
				r.countRun()
			}
			r.recordOrigin(choice.Upstream)
			r.startStream(resp.Status, header)
			r.lastEventAt = time.Now()
			if err := r.writer.write(events); err != nil {
				resp.Close(false)
				ticket.End(upstream.Abandoned)
				r.callerDisconnected()
				return finished
			}
			if time.Since(r.lastEventAt) > maxUncountedWrite {
				ticket.EventsDelayed()
			}
		}
		if err == nil {
			err = readErr
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !resp.Framed && (r.events.Events == 0 || !r.endedWhole(ctx, choice.Upstream)) {
			err = errBrokenOff
		}
		if errors.Is(err, io.EOF) && !r.events.Partial() {
			resp.Close(true)
			ticket.End(upstream.Served)
			r.startStream(resp.Status, header)
			r.recordComplete(choice, resp)
			return finished
		}
		resp.Close(false)
		return r.streamInterrupted(ctx, detector, choice, ticket, err)
	}
}

// streamBufferBytes holds several events of a stream.
const streamBufferBytes = 2 << 10

func (r *request) startStream(status int, header http.Header) {
	if r.writer.started {
		return
	}
	r.status, r.firstByteAt = status, time.Now()
	r.lastEventAt = r.firstByteAt
	r.g.Stats.firstByte.UpdateDuration(r.start)
	r.writer.start(status, header)
}

// streamInterrupted handles a stream that ended before it was complete. If it can
// be resumed, or the caller has received nothing of it, another attempt may follow.
func (r *request) streamInterrupted(ctx context.Context, detector *stallDetector, choice *upstream.Choice, ticket *upstream.Ticket, err error) attemptResult {
	if ctx.Err() != nil || detector.stalled() {
		r.givenUp(choice)
	}
	if ctx.Err() != nil {
		ticket.End(upstream.Abandoned)
		r.endIfDone(ctx)
		return finished
	}
	crashed := r.findCrash(ctx, choice.Upstream, err)
	outcome := upstream.Broken
	switch {
	case detector.stalled():
		err, outcome = errStalled, upstream.Stalled
	case crashed != nil:
		outcome = upstream.Unreachable
	}
	ticket.End(outcome)
	r.g.Stats.countAttempt("broken")
	r.g.Logger.Warn("stream interrupted", r.interruptionFields(choice, err, true, crashed != nil, zap.Int("events", r.events.Events))...)
	r.events.Reset()
	if r.route.Resumable && r.events.Events > 0 {
		r.resumeAfter = r.events.LastID
	}
	if r.writer.started && (!r.route.Resumable || r.resumeAfter == "" || r.g.Origins.Ambiguous(r.attrs.RequestID)) {
		r.abortStream("the stream was interrupted and cannot be resumed")
		r.recordCrash(crashed)
		return finished
	}
	return r.afterCrash(crashed)
}
