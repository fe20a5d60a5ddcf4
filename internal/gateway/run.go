package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// Bounds of the attempts of one request.
const (
	// mostArrivals bounds the upstreams that refuse one request, besides those
	// that may run it.
	mostArrivals = 6
	// leastLeft is the time below which no further attempt can succeed: a round
	// trip and the shortest work.
	leastLeft = 40 * time.Millisecond
	// waitShare of the time left is the most that a request waits here for an
	// upstream that is known to be usable then; a longer wait is the caller's,
	// told by Retry-After, who honours it up to a third of its time.
	waitShare = 0.4
	// unknownRetry is told to callers when nothing better is known.
	unknownRetry = 500 * time.Millisecond
)

// next tells what follows an attempt.
type next int

const (
	// finished means that the caller has its answer.
	finished next = iota
	// again means that another upstream may serve the request.
	again
)

// run sends the request to upstreams until one serves it or nothing is left to try.
func (x *call) run(ctx context.Context) {
	for {
		if x.ended(ctx) {
			return
		}
		choice, shortage := x.g.Pool.Pick(&x.query)
		if choice == nil {
			if x.waitFor(ctx, shortage) {
				continue
			}
			x.giveUp(shortage.Reason, shortage.After)
			return
		}
		x.wantReplica(choice)
		if choice.Load {
			switch x.load(ctx, choice) {
			case loaded:
				if x.ended(ctx) {
					return
				}
			case notLoaded:
				x.query.Tried[choice.Upstream.ID] = true
				continue
			case tooLate:
				return
			}
		}
		ticket, shortage := x.g.Pool.Begin(choice, &x.query)
		if ticket == nil {
			if shortage.After > 0 && !x.waitFor(ctx, shortage) {
				x.giveUp(shortage.Reason, shortage.After)
				return
			}
			continue
		}
		if !x.mayArrive() {
			ticket.End(upstream.Abandoned)
			x.giveUp("the budget for further attempts is used up", unknownRetry)
			return
		}
		if x.attempt(ctx, choice, ticket) == finished {
			return
		}
		if x.ran >= x.route.Attempts || x.ran > 0 && !x.route.Repeatable() {
			x.giveUp("all attempts failed", 0)
			return
		}
	}
}

// ended answers a request whose time is up or whose caller is gone.
func (x *call) ended(ctx context.Context) bool {
	if ctx.Err() == nil && x.left() > 0 {
		return false
	}
	if x.caller.Err() != nil {
		x.gone()
		return true
	}
	switch {
	case x.sink.begun:
		x.cut("the time is up")
	case x.held != nil:
		x.passHeld()
	case x.ran > 0:
		x.refuse(errkind.New(errkind.DeadlinePassed, "the time is up; an upstream may have run the request"))
	default:
		x.refuse(errkind.New(errkind.UpstreamUnavailable, "the time is up and the request has not run"))
	}
	return true
}

// gone ends a request whose caller has left; nobody reads an answer.
func (x *call) gone() {
	const closedByCaller = 499
	x.status, x.kind, x.reason = closedByCaller, errkind.DeadlinePassed, "the caller went away"
	if x.sink.begun {
		_ = x.sink.abort()
	}
}

// cut ends a stream in the middle.
func (x *call) cut(reason string) {
	x.kind, x.reason = errkind.StreamCut, reason
	if err := x.sink.abort(); err != nil {
		x.g.Logger.Debug("close of a cut stream", x.idField(), telemetry.Err(err))
	}
}

// giveUp answers at once a request that cannot be served.
func (x *call) giveUp(reason string, after time.Duration) {
	switch {
	case x.sink.begun:
		x.cut(reason)
	case x.held != nil:
		x.passHeld()
	case x.ran > 0:
		x.refuse(errkind.New(errkind.UpstreamFailed, reason))
	default:
		if after <= 0 {
			after = unknownRetry
		}
		x.refuse(errkind.New(errkind.UpstreamUnavailable, reason).After(after))
	}
}

// waitFor waits for an upstream that is usable soon and reports whether to try.
func (x *call) waitFor(ctx context.Context, s upstream.Shortage) bool {
	if s.After <= 0 || s.After > time.Duration(waitShare*float64(x.left())) {
		return false
	}
	t := time.NewTimer(s.After)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return true
}

// mayArrive counts an arrival beyond the first against the shared budget.
func (x *call) mayArrive() bool {
	if x.arrivals == 0 {
		return true
	}
	return x.arrivals < mostArrivals && x.left() > leastLeft && x.g.Repeats.Repeat(x.query.Service)
}

// loadResult is how an agent's load ended for a request.
type loadResult int

const (
	loaded loadResult = iota
	// notLoaded means that another engine can be tried.
	notLoaded
	// tooLate means that the request was given up.
	tooLate
)

// load has the model or adapter loaded at the chosen engine.
func (x *call) load(ctx context.Context, choice *upstream.Choice) loadResult {
	if choice.AgentAddr == "" {
		return notLoaded
	}
	start := time.Now()
	defer func() { x.loadWait += time.Since(start) }()
	resp, err := x.g.Loader.Ensure(ctx, choice.AgentAddr, agentapi.EnsureRequest{
		Model: x.query.Model, Adapter: x.query.Adapter, WaitMS: x.left().Milliseconds(),
	})
	if err != nil {
		if ctx.Err() == nil {
			x.g.Logger.Warn("agent did not load", x.idField(), zap.String("upstream", choice.Upstream.ID),
				zap.String("model", x.query.Name()), telemetry.Err(err))
		}
		return notLoaded
	}
	if resp.Loaded {
		x.g.Pool.Loaded(choice.Upstream.ID, x.query.Model, x.query.Adapter)
		x.g.Logger.Debug("model loaded for request", x.idField(), zap.String("upstream", choice.Upstream.ID),
			zap.String("model", x.query.Name()), zap.Duration("waited", time.Since(start)))
		return loaded
	}
	if after := time.Duration(resp.ReadyInMS) * time.Millisecond; after > x.left() {
		x.giveUp("the model cannot be loaded in time: "+resp.Reason, after)
		return tooLate
	}
	return notLoaded
}

// wantReplica asks for another copy of a model whose engines are slow. The
// request does not wait for it.
func (x *call) wantReplica(choice *upstream.Choice) {
	r := choice.Replica
	if r == nil || r.AgentAddr == "" {
		return
	}
	g, model, worth := x.g, x.query.Model, r.Worth
	id := x.idField()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := g.Loader.Ensure(ctx, r.AgentAddr, agentapi.EnsureRequest{Model: model, Background: true, Worth: worth})
		if err != nil {
			g.Logger.Warn("agent did not take the wish for a copy", id, zap.String("model", model), telemetry.Err(err))
		}
	}()
}

func (x *call) idField() zap.Field { return zap.String("request", x.attrs.RequestID) }

// forward returns what the system adds to the request.
func (x *call) forward(choice *upstream.Choice) fleet.Forward {
	f := fleet.Forward{Left: x.left(), Instance: choice.Upstream.ID, ResumeAfter: x.attrs.ResumeAfter}
	if x.team != nil {
		f.Team = x.team.Name
	}
	if x.query.Model != "" {
		f.Urgency, f.HasUrgency = x.urgency(), true
	}
	if x.resumeAfter != "" {
		f.ResumeAfter, f.WeightsVersion = x.resumeAfter, x.version
	}
	return f
}
