package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

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
	// loadShare of the whole time is the most that a request waits for a load;
	// callers leave after about 0.7 of it.
	loadShare = 0.7
	// unknownRetry is told to callers when nothing better is known.
	unknownRetry = 500 * time.Millisecond
)

// run sends the request to upstreams until one serves it or nothing is left to try.
func (x *call) run(ctx context.Context) {
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(x.g.leaving, stop)()
	for {
		if x.ended(ctx) || x.refusedLeaving() {
			return
		}
		x.query.Begun = x.sink.begun
		choice, shortage := x.g.Pool.Pick(&x.query)
		if choice == nil {
			x.wantReplica(shortage.Replica)
			if shortage.Overloaded && x.ran == 0 && x.held == nil {
				x.refuse(errkind.New(errkind.UpstreamBusy, shortage.Reason).WithRetryAfter(shortage.After))
				return
			}
			if x.waitFor(waiting, shortage) {
				continue
			}
			x.giveUp(shortage.Reason, shortage.After)
			return
		}
		x.wantReplica(choice.Replica)
		if choice.Load {
			switch x.load(waiting, choice) {
			case loaded:
				if x.ended(ctx) || x.refusedLeaving() {
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
			if shortage.After > 0 && !x.waitFor(waiting, shortage) {
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

// refusedLeaving ends a request that still waits when the instance is about to
// end, and reports whether it did.
func (x *call) refusedLeaving() bool {
	const reason = "the instance is shutting down"
	switch {
	case x.g.leaving.Err() == nil:
		return false
	case x.sink.begun || x.held != nil || x.ran > 0:
		x.giveUp(reason, 0)
	default:
		x.refuse(errkind.New(errkind.Draining, reason).WithRetryAfter(drainingRetry))
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
		x.refuse(errkind.New(errkind.UpstreamUnavailable, reason).WithRetryAfter(after))
	}
}

// waitFor waits for an upstream that is usable soon and reports whether to try.
func (x *call) waitFor(ctx context.Context, s upstream.Shortage) bool {
	most := time.Duration(waitShare * float64(x.left()))
	if s.Load {
		most = x.loadLeft()
	}
	if s.After <= 0 || s.After > most {
		return false
	}
	pause := s.After
	if s.Again > 0 {
		pause = min(pause, s.Again)
	}
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return true
}

// loadLeft is how long the request may still wait for a load.
func (x *call) loadLeft() time.Duration {
	return time.Until(x.start.Add(time.Duration(loadShare * float64(x.deadline.Sub(x.start)))))
}

// mayArrive counts an arrival beyond the first against the shared budget.
func (x *call) mayArrive() bool {
	if x.arrivals == 0 {
		return true
	}
	return x.arrivals < mostArrivals && x.left() > leastLeft && x.g.Repeats.Repeat(x.query.Service)
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
