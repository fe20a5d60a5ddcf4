package replay

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/waitpolicy"
)

// request is one request at an entry instance. It takes the same decisions as a request
// of package gateway.
type request struct {
	world    *world
	class    ClassSpec
	pool     *upstream.Pool
	model    string
	deadline time.Time
	// point is the request's waitpolicy.Request.Point.
	point float64

	query upstream.Query
	// leave ends the request when its caller loses patience.
	leave        *time.Timer
	firstTokenAt time.Time
	// retryAfter is when the caller of a refused request should come back.
	retryAfter time.Duration
}

func (r *request) waiting(start time.Time) waitpolicy.Request {
	return waitpolicy.Request{Start: start, Deadline: r.deadline, Patience: r.class.patience(), Point: r.point}
}

// run returns what became of the request, with onTime for every complete response.
func (r *request) run() outcome {
	c := r.class
	r.query = upstream.Query{Service: service, Model: r.model, TokensIn: c.TokensIn, Objective: milliseconds(c.ObjectiveMS), Urgency: c.Priority, Tried: make(map[string]bool)}
	waiting := r.waiting(time.Now())
	r.pool.RecordRequest(&r.query)
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	r.leave = time.AfterFunc(c.patience(), cancel)
	defer r.leave.Stop()
	for ctx.Err() == nil {
		choice, unavailable := r.pool.Pick(&r.query)
		if choice == nil {
			r.requestReplica(unavailable.Replica)
			if !r.await(ctx, waiting, unavailable) {
				r.retryAfter = waitpolicy.RetryAfter(waiting, unavailable.RetryAfter())
				return refused
			}
			continue
		}
		r.requestReplica(choice.Replica)
		if choice.NeedsLoad {
			d := waitpolicy.Decide(time.Now(), waiting, waitpolicy.Load, choice.LoadTime)
			if d.Wait == 0 {
				r.retryAfter = d.RetryAfter
				return refused
			}
			if !r.load(ctx, choice, d.Wait) {
				r.query.Tried[choice.Upstream.ID] = true
				continue
			}
		}
		if o, done := r.attempt(ctx, choice); done {
			return o
		}
	}
	return abandoned
}

// await waits for a load and reports whether to pick again.
func (r *request) await(ctx context.Context, waiting waitpolicy.Request, u upstream.Unavailable) bool {
	load, pending := u.Obstacle.(upstream.LoadPending)
	if !pending || waitpolicy.Decide(time.Now(), waiting, waitpolicy.Load, load.RetryAfter).Wait == 0 {
		return false
	}
	t := time.NewTimer(min(load.RetryAfter, load.PollAfter))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.pool.LoadProgress(service, r.model):
	}
	return true
}

func (r *request) load(ctx context.Context, choice *upstream.Choice, wait time.Duration) bool {
	resp, err := r.world.agents[choice.Upstream.ID].ServeEnsure(ctx, agentapi.EnsureRequest{Model: r.model, WaitMS: wait.Milliseconds()})
	if err != nil || !resp.Loaded {
		return false
	}
	r.pool.MarkLoaded(choice.Upstream.ID, r.model, "")
	return true
}

func (r *request) requestReplica(replica *upstream.Choice) {
	if replica != nil {
		_, _ = r.world.agents[replica.Upstream.ID].ServeEnsure(context.Background(), agentapi.EnsureRequest{Model: r.model, Background: true, ExpectedDemand: replica.Demand})
	}
}

// attempt sends the request to an engine. done is false if another one may be tried.
func (r *request) attempt(ctx context.Context, choice *upstream.Choice) (o outcome, done bool) {
	ticket, _ := r.pool.Begin(choice, &r.query)
	if ticket == nil {
		return 0, false
	}
	time.Sleep(networkDelay)
	firstToken := func() {
		r.leave.Stop()
		ticket.HeadersReceived(fleet.ResponseAttributes{})
		r.firstTokenAt = time.Now()
	}
	output := milliseconds(float64(r.class.TokensOut) * r.world.pattern.Engines.TokenMS)
	switch r.world.engines[choice.Upstream.ID].run(ctx, r.model, r.class.TokensIn, output, firstToken) {
	case served:
		ticket.End(upstream.Served)
		return onTime, true
	case missing:
		ticket.End(upstream.Refused)
		r.pool.MarkMissing(choice.Upstream.ID, r.model, "")
		return 0, false
	case full:
		ticket.End(upstream.Refused)
	default:
		if ctx.Err() != nil {
			ticket.End(upstream.Abandoned)
			return abandoned, true
		}
		ticket.End(upstream.Broken)
	}
	r.query.Tried[choice.Upstream.ID] = true
	return 0, false
}
