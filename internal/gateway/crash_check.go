package gateway

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/quarantine"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// crashCheckTTL is how long the result of a check serves other requests. All requests at
// an upstream that crashes fail within milliseconds; it starts again after seconds.
const crashCheckTTL = 300 * time.Millisecond

// crashChecks finds out whether an upstream has crashed after a connection to it broke.
// Requests that fail together share one check. It is safe for concurrent use.
type crashChecks struct {
	mu     sync.Mutex
	checks map[string]*crashCheck
}

// crashCheck is the check of one upstream. crashed may be read once done is closed.
type crashCheck struct {
	started time.Time
	done    chan struct{}
	crashed bool
}

// run returns the result of check for the upstream, or that of one that began less than
// crashCheckTTL ago. It returns false if ctx ends first.
func (c *crashChecks) run(ctx context.Context, upstreamID string, check func() bool) bool {
	now := time.Now()
	c.mu.Lock()
	current, ok := c.checks[upstreamID]
	if ok && now.Sub(current.started) < crashCheckTTL {
		c.mu.Unlock()
		select {
		case <-current.done:
			return current.crashed
		case <-ctx.Done():
			return false
		}
	}
	if c.checks == nil {
		c.checks = make(map[string]*crashCheck)
	}
	for id, old := range c.checks {
		if now.Sub(old.started) >= crashCheckTTL {
			delete(c.checks, id)
		}
	}
	current = &crashCheck{started: now, done: make(chan struct{})}
	c.checks[upstreamID] = current
	c.mu.Unlock()
	defer close(current.done)
	current.crashed = check()
	return current.crashed
}

// connectionEnded reports whether an exchange failed because the upstream ended the
// connection, as it does when it crashes.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// crashed reports whether an upstream has crashed, after an exchange with it failed with
// err. An upstream that is leaving ends without having crashed.
func (r *request) crashed(ctx context.Context, u *fleet.Upstream, err error) bool {
	if !connectionEnded(err) || r.g.Pool.Leaving(u.ID) {
		return false
	}
	return r.g.crashChecks.run(ctx, u.ID, func() bool {
		return r.g.UpstreamClient.Refuses(ctx, u.Addr)
	})
}

// interruptionFields returns the log fields of an attempt that failed. If the request was
// sent, they tell whether the upstream crashed and what the request has in common with
// others.
func (r *request) interruptionFields(ctx context.Context, choice *upstream.Choice, err error, sent bool, more ...zap.Field) []zap.Field {
	fields := []zap.Field{r.requestIDField(), zap.String("upstream", choice.Upstream.ID), telemetry.Err(err)}
	fields = append(fields, more...)
	if !sent {
		return fields
	}
	crashed := r.crashed(ctx, choice.Upstream, err)
	if crashed {
		r.g.Stats.countAttempt("crashed")
	}
	return append(fields, zap.Bool("crashed", crashed), zap.Any("content", r.suspects()))
}

// suspects returns what the request may have in common with others that crash upstreams.
func (r *request) suspects() []quarantine.Suspect {
	if r.suspectList == nil {
		id := quarantine.Identity{Method: r.method, Host: r.host, URI: r.uri, Body: r.body, Prompt: r.attrs.Prompt}
		if r.team != nil {
			id.Team = r.team.Name
		}
		r.suspectList = id.Suspects()
	}
	return r.suspectList
}
