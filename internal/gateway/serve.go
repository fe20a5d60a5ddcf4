package gateway

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/routetable"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// defaultTimeout applies if neither the request nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// Serve handles one request of a caller.
func (g *Gateway) Serve(ctx context.Context, c *app.RequestContext) {
	r := &request{g: g, c: c, serial: g.serials.Add(1), start: time.Now(), callerCtx: ctx, writer: streamWriter{c: c}, buffers: bufferReservation{budget: g.Buffers}}
	defer r.recoverPanic()
	r.readRequest()
	r.waitUntilServing()
	if g.Lifecycle.State() != lifecycle.Serving {
		c.SetConnectionClose()
	}
	if !g.Lifecycle.Begin() && !g.beginDraining() {
		if g.Lifecycle.State() == lifecycle.Starting {
			r.refuse(errkind.New(errkind.ViewStale, "the instance is starting").WithRetryAfter(defaultRetryAfter))
		} else {
			r.refuse(errkind.New(errkind.Draining, "the instance is shutting down").WithRetryAfter(drainingRetryAfter))
		}
		r.logResult()
		return
	}
	defer g.Lifecycle.End()
	r.handle()
	r.logResult()
}

const (
	// maxStartWait limits the wait for the instance's start, which takes under two
	// seconds.
	maxStartWait = 2 * time.Second
	// maxStartWaitShare is the largest share of its time for which a request waits.
	maxStartWaitShare = 0.4
	startPollInterval = 20 * time.Millisecond
)

// waitUntilServing waits until a starting instance serves, for at most
// maxStartWaitShare of the request's time. The platform sends requests to an instance
// that is not ready only when no instance is ready, for example after a power
// loss. A refusal would then send the caller to another starting instance.
func (r *request) waitUntilServing() {
	if r.g.Lifecycle.State() != lifecycle.Starting {
		return
	}
	wait := defaultTimeout
	if a, err := r.g.Dialect.Attributes(r.header); err == nil && a.Timeout > 0 {
		wait = a.Timeout
	}
	end := r.start.Add(min(maxStartWait, time.Duration(maxStartWaitShare*float64(wait))))
	t := time.NewTicker(startPollInterval)
	defer t.Stop()
	for r.g.Lifecycle.State() == lifecycle.Starting && time.Now().Before(end) {
		select {
		case <-r.callerCtx.Done():
			return
		case <-t.C:
		}
	}
}

// beginDraining admits a request to a draining instance and reports whether it
// did. Requests keep arriving, because the platform takes some seconds to send
// callers to other instances, and callers reuse open connections.
func (g *Gateway) beginDraining() bool { return g.Lifecycle.BeginDuringDrain() }

// drainingRetryAfter is the Retry-After of a draining instance. The caller can
// retry at once, since its next connection reaches another instance.
const drainingRetryAfter = 10 * time.Millisecond

// readRequest copies the request line and the header, because the server reuses their buffers. It does
// not reuse the body.
func (r *request) readRequest() {
	req := &r.c.Request
	r.method = string(req.Header.Method())
	r.uri = string(req.Header.RequestURI())
	r.host = string(req.Header.Host())
	r.header = make(http.Header, req.Header.Len())
	req.Header.VisitAll(func(k, v []byte) { r.header.Add(string(k), string(v)) })
	r.body = req.Body()
}

func (r *request) handle() {
	table := r.g.table.load()
	if table == nil {
		r.refuse(errkind.New(errkind.ViewStale, "no configuration received yet"))
		return
	}
	if err := r.admit(table); err != nil {
		r.refuse(err)
		return
	}
	r.deadline = r.start.Add(r.timeout())
	if r.g.exitsBefore(r.deadline) {
		r.refuse(errkind.New(errkind.Draining, "the instance is shutting down").WithRetryAfter(drainingRetryAfter))
		return
	}
	ctx, cancel := context.WithDeadline(r.callerCtx, r.deadline)
	defer cancel()
	if r.callerResumes() {
		if err := r.bindToOrigin(ctx); err != nil {
			r.refuse(err)
			return
		}
	}
	if err := r.chargeQuota(ctx); err != nil {
		if !r.endIfDone(ctx) {
			r.refuse(err)
		}
		return
	}
	r.g.RetryBudget.CountRequest(r.query.Service)
	r.g.Pool.RecordRequest(&r.query)
	defer r.buffers.release()
	r.run(ctx)
	if r.possibleRuns == 0 && r.chargedTokens > 0 {
		// A caller that comes back at once must find its own tokens free, so only the
		// loans are returned after the response.
		r.returnLoans(r.g.Quota.Refund(r.team.Name, r.chargedTokens, r.loans))
	}
}

// refundTimeout limits the calls that return loans to other instances. It is long
// enough for several round trips.
const refundTimeout = 300 * time.Millisecond

// returnLoans gives loans that were not spent back to other instances, in the
// background.
func (r *request) returnLoans(loans []tokenquota.Loan) {
	if len(loans) == 0 {
		return
	}
	g, team, id := r.g, r.team.Name, r.requestIDField()
	background.Go(g.Logger, "return loans", func() {
		ctx, cancel := context.WithTimeout(context.Background(), refundTimeout)
		defer cancel()
		if err := g.Quota.ReturnLoans(ctx, team, loans); err != nil {
			g.Logger.Info("loans not returned; they count as spent for one quota window", id, zap.String("team", team), telemetry.Err(err))
		}
	})
}

// timeout returns how long the request may take: the shorter of the caller's and
// the route's timeouts.
func (r *request) timeout() time.Duration {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.attrs.Timeout > 0 {
		timeout = min(timeout, r.attrs.Timeout)
	}
	return timeout
}

// admit checks the sizes, the route, the header and the key of the request against
// the configuration, and prepares the query for an upstream.
func (r *request) admit(t *routetable.Table) *errkind.Error {
	limits := t.Config.Limits
	if limit := limits.MaxHeaderBytes; limit > 0 && len(r.c.Request.Header.RawHeaders()) > limit {
		return errkind.New(errkind.HeadersTooLarge, "the headers exceed the configured size limit")
	}
	if limit := limits.MaxBodyBytes; limit > 0 && len(r.body) > limit {
		return errkind.New(errkind.BodyTooLarge, "the body exceeds the configured size limit")
	}
	path, _, _ := bytes.Cut([]byte(r.uri), []byte("?"))
	r.route = t.Match(r.host, string(path))
	if r.route == nil {
		return errkind.New(errkind.RouteNotFound, "no route matches the host and path")
	}
	var err error
	if r.attrs, err = r.g.Dialect.Attributes(r.header); err != nil {
		return errkind.Wrap(errkind.InvalidRequest, err.Error(), err)
	}
	if t.NeedsKey(r.route) {
		team, ok := t.Team(r.attrs.Key)
		if !ok {
			return errkind.New(errkind.Unauthenticated, "the key is missing or unknown")
		}
		r.team = team
	}
	r.events.LastID = r.attrs.ResumeAfter
	r.query = upstream.Query{
		Service: targetService(r.route, r.firstRequestID()), Model: r.attrs.Model, Adapter: r.attrs.Adapter,
		Prompt: r.attrs.Prompt, TokensIn: r.attrs.TokensIn, TokensOut: r.attrs.ExpectedTokensOut(), Bytes: len(r.body), Objective: r.route.Objective,
		EventInterval: r.route.EventInterval, Repeatable: r.route.Retryable(), Streams: r.route.Kind == fleet.Streaming,
		Urgency: r.urgency(), DataCentre: r.g.DataCentre, Tried: make(map[string]bool),
	}
	return nil
}

// firstRequestID returns the id of the request that began the stream: a route that splits its
// traffic sends the requests that resume it to the same service.
func (r *request) firstRequestID() string {
	if r.callerResumes() && r.attrs.Resumes != "" {
		return r.attrs.Resumes
	}
	return r.attrs.RequestID
}

func (r *request) logResult() {
	took := time.Since(r.start)
	r.g.Stats.requests.Update(took.Seconds())
	r.g.Stats.countResponse(r.status, string(r.kind))
	fields := []zap.Field{
		zap.String("request", r.attrs.RequestID), zap.Int("status", r.status), zap.Duration("took", took),
	}
	if r.route != nil {
		fields = append(fields, zap.String("route", r.route.Name))
	}
	if r.team != nil {
		fields = append(fields, zap.String("team", r.team.Name))
	}
	if r.query.Model != "" {
		fields = append(fields, zap.String("model", r.query.Name()))
	}
	if len(r.upstreams) > 0 {
		fields = append(fields, zap.Strings("upstreams", r.upstreams), zap.Strings("versions", r.versions), zap.Int("ran", r.possibleRuns), zap.Int("events", r.events.Events))
	}
	if r.attrs.ResumeAfter != "" {
		fields = append(fields, zap.String("resumes", r.attrs.Resumes), zap.String("resume_after", r.attrs.ResumeAfter))
	}
	if r.quotaWait > 0 {
		fields = append(fields, zap.Duration("quota_wait", r.quotaWait))
	}
	if r.bufferWait > 0 {
		fields = append(fields, zap.Duration("buffer_wait", r.bufferWait))
	}
	if !r.firstSentAt.IsZero() {
		fields = append(fields, zap.Duration("sent_after", r.firstSentAt.Sub(r.start)))
	}
	if !r.firstByteAt.IsZero() {
		fields = append(fields, zap.Duration("first_byte_after", r.firstByteAt.Sub(r.start)), zap.Duration("expected", r.estimatedTTFT), zap.Duration("load_wait", r.loadWait), zap.Duration("rate_wait", r.rateWait))
		fields = append(fields, r.progress.fields()...)
	}
	if r.kind == "" {
		r.g.Logger.Info("request served", fields...)
		return
	}
	r.g.Logger.Warn("request not served", append(fields, zap.String("kind", string(r.kind)), zap.String("reason", r.reason))...)
}
