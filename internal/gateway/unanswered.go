package gateway

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// newCrash describes the end of an upstream.
func newCrash(u *fleet.Upstream, cold bool) *crash {
	return &crash{id: u.ID + "/" + strconv.FormatInt(u.StartedAtMS, 10), cold: cold}
}

// unansweredCheckDelay is how long after a request was given up its upstream is checked. An upstream
// that crashes starts again after seconds.
const unansweredCheckDelay = time.Second

// givenUp records that the request was sent to an upstream and is not waited for any longer. The
// upstream may go on with it, and crash, which no connection of this instance would show.
func (r *request) givenUp(choice *upstream.Choice) {
	if !r.g.unanswered.Add(choice.Upstream.ID, r.suspects()) || r.writer.started {
		return
	}
	u := choice.Upstream
	background.Go(r.g.Logger, "check upstream", func() {
		t := time.NewTimer(unansweredCheckDelay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.g.ending.Done():
			return
		}
		if !r.g.Pool.Leaving(u.ID) {
			if found := r.checkUpstream(context.Background(), u).crash; found != nil {
				r.g.recordUnanswered(u.ID, found)
			}
		}
	})
}

// recordRefusedConnection takes the refusal of a connection as the end of the upstream if requests were
// given up there that may have caused it.
func (r *request) recordRefusedConnection(u *fleet.Upstream, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) && !r.g.Pool.Leaving(u.ID) {
		r.g.recordUnanswered(u.ID, newCrash(u, r.g.Pool.Cold(u.ID)))
	}
}

// recordUnanswered records the requests that were given up at an upstream as suspects of its crash.
func (g *Gateway) recordUnanswered(upstreamID string, c *crash) {
	suspects := g.unanswered.Take(upstreamID)
	if len(suspects) == 0 {
		return
	}
	g.Logger.Warn("upstream crashed after requests at it had been given up", zap.String("upstream", upstreamID), zap.Any("content", suspects))
	g.Quarantine.RecordCrash(c.id, c.cold, false, suspects)
}

// unansweredUpstreams returns those upstreams at which requests were given up lately and that have not
// announced their end.
func (g *Gateway) unansweredUpstreams() []*fleet.Upstream {
	var out []*fleet.Upstream
	for _, id := range g.unanswered.Upstreams() {
		if u, ok := g.Pool.Upstream(id); ok && !g.Pool.Leaving(id) {
			out = append(out, u)
		}
	}
	return out
}

// recordReplaced records a crash for those of upstreams whose address another start has taken.
func (g *Gateway) recordReplaced(upstreams []*fleet.Upstream) {
	for _, u := range upstreams {
		if !g.Pool.HoldsAddr(u) {
			g.recordUnanswered(u.ID, newCrash(u, false))
		}
	}
}
