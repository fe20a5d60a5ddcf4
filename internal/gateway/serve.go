package gateway

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/routetable"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// defaultWait bounds a request that names no deadline, on a route without one.
const defaultWait = 30 * time.Second

// Serve handles one request of a caller.
func (g *Gateway) Serve(ctx context.Context, c *app.RequestContext) {
	x := &call{g: g, c: c, start: time.Now(), caller: ctx, sink: sink{c: c}}
	x.read()
	x.awaitStart()
	if g.Machine.State() != lifecycle.Serving {
		c.SetConnectionClose()
	}
	if !g.Machine.Begin() && !g.acceptsLate() {
		if g.Machine.State() == lifecycle.Starting {
			x.refuse(errkind.New(errkind.ViewStale, "the instance is starting").After(unknownRetry))
		} else {
			x.refuse(errkind.New(errkind.Draining, "the instance is shutting down").After(drainingRetry))
		}
		x.log()
		return
	}
	defer g.Machine.End()
	x.handle()
	x.log()
}

const (
	// mostStartWait bounds the wait for a start, which takes under two seconds.
	mostStartWait = 2 * time.Second
	startPoll     = 20 * time.Millisecond
)

// awaitStart waits until a starting instance serves, for waitShare of the
// request's time at most. The platform sends requests to an instance that is not
// ready only when none is, as after a loss of power, so a refusal would send the
// caller to another one that is starting.
func (x *call) awaitStart() {
	if x.g.Machine.State() != lifecycle.Starting {
		return
	}
	wait := defaultWait
	if a, err := x.g.Dialect.Attributes(x.header); err == nil && a.Wait > 0 {
		wait = a.Wait
	}
	end := x.start.Add(min(mostStartWait, time.Duration(waitShare*float64(wait))))
	t := time.NewTicker(startPoll)
	defer t.Stop()
	for x.g.Machine.State() == lifecycle.Starting && time.Now().Before(end) {
		select {
		case <-x.caller.Done():
			return
		case <-t.C:
		}
	}
}

// acceptsLate counts a request in that reached a draining instance. Callers
// are sent elsewhere only after some seconds, and keep connections open.
func (g *Gateway) acceptsLate() bool { return g.Machine.BeginDuringDrain() }

// drainingRetry is when a refused caller may come back: at once, since its next
// connection reaches another instance.
const drainingRetry = 10 * time.Millisecond

// read copies what is needed of the request, whose buffers are used again.
func (x *call) read() {
	r := &x.c.Request
	x.method = string(r.Header.Method())
	x.uri = string(r.Header.RequestURI())
	x.host = string(r.Header.Host())
	x.header = make(http.Header, r.Header.Len())
	r.Header.VisitAll(func(k, v []byte) { x.header.Add(string(k), string(v)) })
	x.body = bytes.Clone(r.Body())
}

func (x *call) handle() {
	table := x.g.tables.load()
	if table == nil {
		x.refuse(errkind.New(errkind.ViewStale, "no configuration is known yet"))
		return
	}
	if err := x.admit(table); err != nil {
		x.refuse(err)
		return
	}
	x.deadline = x.start.Add(x.wait())
	if x.g.outlasts(x.deadline) {
		x.refuse(errkind.New(errkind.Draining, "the instance is shutting down").After(drainingRetry))
		return
	}
	ctx, cancel := context.WithDeadline(x.caller, x.deadline)
	defer cancel()
	if err := x.charge(ctx); err != nil {
		x.refuse(err)
		return
	}
	x.g.Repeats.Request(x.query.Service)
	x.g.Pool.Asked(&x.query)
	x.run(ctx)
	if x.ran == 0 && x.tokens > 0 {
		team, tokens, loans := x.team.Name, x.tokens, x.loans
		go x.g.giveBack(team, x.attrs.RequestID, func(ctx context.Context) error { return x.g.Quota.Refund(ctx, team, tokens, loans) })
	}
}

// refundTimeout bounds the calls that give loans back, some round trips.
const refundTimeout = 300 * time.Millisecond

// giveBack returns tokens of a request that has not run to the team.
func (g *Gateway) giveBack(team, request string, back func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), refundTimeout)
	defer cancel()
	if err := back(ctx); err != nil {
		g.Logger.Info("tokens not given back; they count as spent for a window", zap.String("request", request), zap.String("team", team), telemetry.Err(err))
	}
}

// wait is how long the request may take: what the caller waits, at most the
// route's timeout.
func (x *call) wait() time.Duration {
	wait := x.route.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	if x.attrs.Wait > 0 {
		wait = min(wait, x.attrs.Wait)
	}
	return wait
}

// admit checks what can be told from the request and the configuration alone.
func (x *call) admit(t *routetable.Table) *errkind.Error {
	limits := t.Config.Limits
	if most := limits.MaxHeaderBytes; most > 0 && len(x.c.Request.Header.RawHeaders()) > most {
		return errkind.New(errkind.HeadersTooLarge, "the headers are larger than the operators allow")
	}
	if most := limits.MaxBodyBytes; most > 0 && len(x.body) > most {
		return errkind.New(errkind.BodyTooLarge, "the body is larger than the operators allow")
	}
	path, _, _ := bytes.Cut([]byte(x.uri), []byte("?"))
	x.route = t.Match(x.host, string(path))
	if x.route == nil {
		return errkind.New(errkind.RouteNotFound, "no route matches the host and path")
	}
	var err error
	if x.attrs, err = x.g.Dialect.Attributes(x.header); err != nil {
		return errkind.Wrap(errkind.InvalidRequest, err.Error(), err)
	}
	if t.NeedsKey(x.route) {
		team, ok := t.Team(x.attrs.Key)
		if !ok {
			return errkind.New(errkind.Unauthenticated, "the key is missing or unknown")
		}
		x.team = team
	}
	x.events.LastID = x.attrs.ResumeAfter
	x.query = upstream.Query{
		Service: target(x.route, x.attrs.RequestID), Model: x.attrs.Model, Adapter: x.attrs.Adapter,
		Prompt: x.attrs.Prompt, TokensIn: x.attrs.TokensIn, Objective: x.route.Objective,
		Urgency: x.urgency(), DataCentre: x.g.DataCentre, Tried: make(map[string]bool),
	}
	return nil
}

// charge takes the request's tokens from the team's quota.
func (x *call) charge(ctx context.Context) *errkind.Error {
	if x.team == nil || x.team.Rate <= 0 {
		return nil
	}
	tokens := cost(x.team, &x.attrs)
	d := x.take(ctx, tokens)
	if d.Unreached {
		return errkind.New(errkind.ViewStale, "no instance that holds the team's allowance answers").After(unknownRetry)
	}
	if !d.Allowed {
		if len(d.Loans) > 0 {
			team := x.team.Name
			go x.g.giveBack(team, x.attrs.RequestID, func(ctx context.Context) error { return x.g.Quota.Unused(ctx, team, d) })
		}
		x.g.Logger.Info("team over its rate", x.idField(), zap.String("team", x.team.Name), zap.Float64("tokens", tokens),
			zap.Float64("free", d.Free), zap.Float64("share", d.Share), zap.Int("lenders", len(d.Loans)), zap.Duration("wait", d.Wait))
		return errkind.New(errkind.OverRate, "the team's rate is used up").After(d.Wait)
	}
	x.tokens, x.loans = tokens, d.Loans
	return nil
}

const (
	// unreachedShare of the time left is the most that a request waits for a holder
	// of its team's allowance, and unreachedPause the time between two tries.
	unreachedShare = 0.2
	unreachedPause = 60 * time.Millisecond
)

// take takes tokens, and tries again for a while if no holder answers: several
// instances may be starting.
func (x *call) take(ctx context.Context, tokens float64) tokenquota.Decision {
	end := time.Now().Add(time.Duration(unreachedShare * float64(x.left())))
	for {
		d := x.g.Quota.Take(ctx, x.team.Name, tokens)
		if !d.Unreached || !time.Now().Before(end) {
			return d
		}
		t := time.NewTimer(unreachedPause)
		select {
		case <-ctx.Done():
			t.Stop()
			return d
		case <-t.C:
		}
	}
}

// cost is what a request counts against its team's quota.
func cost(t *fleet.Team, a *fleet.Attributes) float64 {
	switch {
	case t.CountsRequests:
		return 1
	case a.HasTokens:
		return float64(a.TokensIn + a.TokensOut)
	default:
		return t.PlainTokens
	}
}

func (x *call) log() {
	took := time.Since(x.start)
	x.g.Stats.requests.Update(took.Seconds())
	x.g.Stats.answered(x.status, string(x.kind))
	fields := []zap.Field{
		zap.String("request", x.attrs.RequestID), zap.Int("status", x.status), zap.Duration("took", took),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name))
	}
	if x.team != nil {
		fields = append(fields, zap.String("team", x.team.Name))
	}
	if x.query.Model != "" {
		fields = append(fields, zap.String("model", x.query.Name()))
	}
	if len(x.upstreams) > 0 {
		fields = append(fields, zap.Strings("upstreams", x.upstreams), zap.Int("ran", x.ran), zap.Int("events", x.events.Events))
	}
	if !x.firstSent.IsZero() {
		fields = append(fields, zap.Duration("sent_after", x.firstSent.Sub(x.start)))
	}
	if !x.firstByte.IsZero() {
		fields = append(fields, zap.Duration("first_byte_after", x.firstByte.Sub(x.start)), zap.Duration("expected", x.expected), zap.Duration("load_wait", x.loadWait))
	}
	if x.kind == "" {
		x.g.Logger.Info("request served", fields...)
		return
	}
	x.g.Logger.Warn("request not served", append(fields, zap.String("kind", string(x.kind)), zap.String("reason", x.reason))...)
}
