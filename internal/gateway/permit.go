package gateway

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/waitpolicy"
)

// takePermit asks the agent of an engine whether the request may be sent there. If
// not, the pool leaves the engine out until a permit may be free.
// A request that may wait for maxWait gets a place in the queue of an engine that names a
// rate limit, and waits for it.
func (r *request) takePermit(ctx context.Context, choice *upstream.Choice, maxWait time.Duration) bool {
	start := time.Now()
	resp, err := r.g.Loader.Permit(ctx, choice.AgentAddr, agentapi.PermitRequest{
		Request: r.attrs.RequestID, Cold: choice.Cold, RateLimit: choice.RateLimit, MaxWaitMS: maxWait.Milliseconds(),
	})
	switch {
	case ctx.Err() != nil:
	case err != nil:
		r.g.Pool.PermitRefused(choice.Upstream.ID, noPermitTimeout, true)
	case !resp.Granted:
		r.g.Pool.PermitRefused(choice.Upstream.ID, time.Duration(resp.WaitMS)*time.Millisecond, false)
	case time.Since(start) > agentapi.PermitTTL/2:
		// The request might reach the engine after the permit has ended.
	default:
		choice.Permitted = wait(ctx, time.Duration(resp.AfterMS)*time.Millisecond)
		return choice.Permitted
	}
	return false
}

// queue waits for a place within the rate limit of an engine, if the request may wait that
// long, and reports whether it has one.
func (r *request) queue(ctx context.Context, o upstream.AtLimit) bool {
	d := waitpolicy.Decide(time.Now(), r.waiting(), waitpolicy.Rate, o.RetryAfter)
	start := time.Now()
	defer func() { r.rateWait += time.Since(start) }()
	return d.Wait > 0 && r.takePermit(ctx, o.Queue, d.Wait)
}

// wait waits for d and reports whether ctx has not ended.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// noPermitTimeout is how long an agent that did not answer is not asked again.
const noPermitTimeout = time.Second
