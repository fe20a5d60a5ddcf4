package gateway

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/waitpolicy"
)

// overcome decides what becomes of a request that no upstream can take now. It returns a choice if
// an engine has kept a place for it, and otherwise whether to pick again; if not, it has ended the
// request.
func (r *request) overcome(ctx context.Context, u upstream.Unavailable) (choice *upstream.Choice, again bool) {
	r.requestReplica(u.Replica)
	notSent := r.possibleRuns == 0
	switch o := u.Obstacle.(type) {
	case upstream.Changed:
		return nil, true
	case upstream.VersionGone:
		if notSent {
			r.refuse(errkind.New(errkind.StreamNotResumable, u.Reason).WithRetryAfter(r.retryAfter(defaultRetryAfter)))
			return nil, false
		}
	case upstream.Overloaded:
		if notSent && r.fallback == nil {
			r.refuse(errkind.New(errkind.UpstreamBusy, u.Reason).WithRetryAfter(r.retryAfter(o.RetryAfter)))
			return nil, false
		}
		again = r.waitForUpstream(ctx, waitpolicy.Rate, o.RetryAfter, o.RetryAfter, nil)
	case upstream.AtLimit:
		if o.Queue != nil && r.queue(ctx, o) {
			return o.Queue, false
		}
		again = r.waitForUpstream(ctx, waitpolicy.Rate, o.RetryAfter, o.RetryAfter, nil)
	case upstream.LoadPending:
		loaded := r.g.Pool.LoadProgress(r.query.Service, r.query.Model)
		again = r.waitForUpstream(ctx, waitpolicy.Load, o.RetryAfter, min(o.RetryAfter, o.PollAfter), loaded)
	case upstream.Unusable:
	}
	if !again {
		r.fail(u.Reason, u.RetryAfter())
	}
	return nil, again
}

// waitForUpstream waits until an upstream may be available, or progress says so, and reports
// whether to pick again. It returns false at once if the time eta is unknown or too far off.
func (r *request) waitForUpstream(ctx context.Context, o waitpolicy.Obstacle, eta, wait time.Duration, progress <-chan struct{}) bool {
	if waitpolicy.Decide(time.Now(), r.waiting(), o, eta).Wait == 0 {
		return false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-progress:
	case <-t.C:
	}
	return true
}
