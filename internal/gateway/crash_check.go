package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/upstreamclient"
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

// crashCheck is the check of one upstream. result may be read once done is closed.
type crashCheck struct {
	started time.Time
	done    chan struct{}
	result  checkResult
}

// checkResult is the result of a check.
type checkResult struct {
	probe upstreamclient.ProbeResult
	// crash is set if the upstream refuses connections.
	crash *crash
}

// crash is the end of an upstream under its requests.
type crash struct {
	// id identifies the upstream and its start.
	id string
	// cold tells that the upstream had started shortly before.
	cold bool
}

// run returns the result of check for the upstream, or that nothing is known if ctx ends first. It
// uses the result of another check that began less than crashCheckTTL ago, but an upstream that
// had not crashed when a check began may have by now.
func (c *crashChecks) run(ctx context.Context, upstreamID string, check func() checkResult) checkResult {
	failed := time.Now()
	for {
		current, own := c.begin(upstreamID, failed)
		if own {
			defer close(current.done)
			current.result = check()
			return current.result
		}
		select {
		case <-current.done:
		case <-ctx.Done():
			return checkResult{}
		}
		if current.result.crash != nil || !current.started.Before(failed) {
			return current.result
		}
	}
}

// begin returns a check whose result may serve a request that failed at failed, or a new one
// that the caller has to run.
func (c *crashChecks) begin(upstreamID string, failed time.Time) (current *crashCheck, own bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, old := range c.checks {
		if now.Sub(old.started) >= crashCheckTTL {
			delete(c.checks, id)
		}
	}
	if current, ok := c.checks[upstreamID]; ok && !current.tooEarly(failed) {
		return current, false
	}
	if c.checks == nil {
		c.checks = make(map[string]*crashCheck)
	}
	current = &crashCheck{started: now, done: make(chan struct{})}
	c.checks[upstreamID] = current
	return current, true
}

// tooEarly reports whether the check ended without a crash and began before failed.
func (c *crashCheck) tooEarly(failed time.Time) bool {
	select {
	case <-c.done:
		return c.result.crash == nil && c.started.Before(failed)
	default:
		return false
	}
}

// connectionEnded reports whether an exchange failed because the upstream ended the
// connection, as it does when it crashes.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkUpstream finds out whether the upstream still runs.
func (r *request) checkUpstream(ctx context.Context, u *fleet.Upstream) checkResult {
	return r.g.crashChecks.run(ctx, u.ID, func() checkResult {
		cold := r.g.Pool.Cold(u.ID)
		// The result serves other requests, so the check goes on if this caller leaves.
		result := checkResult{probe: r.g.UpstreamClient.Probe(context.WithoutCancel(ctx), u.Addr)}
		if result.probe == upstreamclient.Refuses {
			result.crash = newCrash(u, cold)
		}
		return result
	})
}

// findCrash returns the crash of an upstream that made an exchange with it fail with err,
// or nil. An upstream that is leaving ends without having crashed.
func (r *request) findCrash(ctx context.Context, u *fleet.Upstream, err error) *crash {
	switch {
	case !connectionEnded(err):
		r.crashFinding = "connection not ended by the upstream"
		return nil
	case r.g.Pool.Leaving(u.ID):
		r.crashFinding = "upstream is leaving"
		return nil
	}
	found := r.checkUpstream(ctx, u).crash
	switch {
	case found != nil:
		r.crashFinding = "crashed"
		r.g.recordUnanswered(u.ID, found)
	case ctx.Err() != nil:
		r.crashFinding = "request ended before the check"
	default:
		r.crashFinding = "upstream does not refuse connections"
	}
	return found
}

// lifeCheckTimeout is as long as a connection attempt to an upstream may take.
const lifeCheckTimeout = 350 * time.Millisecond

// endedWhole reports whether a response without a length, which has ended with its connection, is
// complete. That is certain only if the upstream still runs: the connections of one that has ended,
// whether it crashed or was leaving, end in the same way.
func (r *request) endedWhole(ctx context.Context, u *fleet.Upstream) bool {
	return r.checkUpstream(ctx, u).probe == upstreamclient.Listens && r.g.Pool.HoldsAddr(u) && r.runs(ctx, u)
}

// runs reports whether the upstream answers a request. A connection tells less: those of a process that
// is ending may be closed before its listener is, and an address may belong to another upstream.
func (r *request) runs(ctx context.Context, u *fleet.Upstream) bool {
	path := ""
	if table := r.g.table.load(); table != nil {
		if s, ok := table.Config.Services[u.Service]; ok {
			path = r.g.Dialect.LifeCheckPath(&s)
		}
	}
	if path == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, lifeCheckTimeout)
	defer cancel()
	resp, err := r.g.UpstreamClient.Do(ctx, u.Addr, &upstreamclient.Request{Method: http.MethodGet, URI: path, Host: u.Addr, Header: http.Header{}, NewConn: true})
	if err != nil {
		return false
	}
	instance := r.g.Dialect.Answer(resp.Header).Instance
	return resp.Discard() == nil && (instance == "" || instance == u.ID)
}

// interruptionFields returns the log fields of an attempt that failed. If the request was
// sent, they tell whether the upstream crashed and what the request has in common with
// others.
func (r *request) interruptionFields(choice *upstream.Choice, err error, sent, crashed bool, more ...zap.Field) []zap.Field {
	fields := []zap.Field{r.requestIDField(), zap.String("upstream", choice.Upstream.ID), telemetry.Err(err)}
	fields = append(fields, more...)
	if !sent {
		return fields
	}
	if crashed {
		r.g.Stats.countAttempt("crashed")
	}
	return append(fields, zap.Bool("crashed", crashed), zap.String("crash_check", r.crashFinding), zap.Any("content", r.suspects()))
}
