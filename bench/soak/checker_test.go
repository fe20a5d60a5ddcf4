package soak

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

func newOrder(id string) *sentRequest {
	return &sentRequest{kind: requestKinds[0], team: "large", Request: platformtest.Request{
		ID: id, Method: http.MethodPost, Path: "/order/new", Body: "b", Deadline: requestDeadline,
	}}
}

func runOf(s *sentRequest) platformtest.Run {
	return platformtest.Run{ID: s.ID, Upstream: "i-1", Method: s.Method, URI: s.Path, Team: s.team, Body: s.Body, At: time.Now()}
}

func newAnswer(status int, body string) platformtest.Response {
	h := make(http.Header)
	h.Set("Retry-After", "1")
	return platformtest.Response{Status: status, Body: body, Header: h, NotRun: status == 429 || status == 503}
}

// recordHarmful records five crashes and then late runs of requests with the harmful part.
func recordHarmful(c *checker, s *sentRequest, late int) {
	start := time.Now().Add(-time.Minute)
	for range 5 {
		c.recordHarm(start)
	}
	s.harmful, s.kind.nonIdempotent = true, false
	for range late {
		run := runOf(s)
		run.At = start.Add(contactTime + time.Second)
		c.recordRun(run)
	}
	c.checkHarmful(start)
}

// recordResumed records a stream that v1 begins and whose caller resumes it, at a version.
func recordResumed(c *checker, s *sentRequest, version string) {
	s.kind, s.kind.path = requestKinds[2], s.Path
	run := runOf(s)
	run.Version = "v1"
	c.recordRun(run)
	again := s.resume(platformtest.Response{Status: 200, Body: "id: 1\ndata: r\n\nid: 2", Err: io.ErrUnexpectedEOF})
	c.recordSend(again)
	run = runOf(again)
	run.Version, run.ResumeAfter = version, again.ResumeAfter
	c.recordRun(run)
}

// TestChecker checks that the checker reports each kind of violation, and none
// where no guarantee is broken.
func TestChecker(t *testing.T) {
	for _, row := range []struct {
		name, want string
		record     func(c *checker, s *sentRequest)
	}{
		{"served", "", func(c *checker, s *sentRequest) { c.recordRun(runOf(s)); c.recordAnswer(s, newAnswer(200, "r b")) }},
		{"refused", "", func(c *checker, s *sentRequest) { c.recordAnswer(s, newAnswer(503, "")) }},
		{"run twice", "run twice", func(c *checker, s *sentRequest) { c.recordRun(runOf(s)); c.recordRun(runOf(s)) }},
		{"ran, then refused", "refused and run", func(c *checker, s *sentRequest) { c.recordRun(runOf(s)); c.recordAnswer(s, newAnswer(503, "")) }},
		{"refused, then ran", "refused and run", func(c *checker, s *sentRequest) { c.recordAnswer(s, newAnswer(429, "")); c.recordRun(runOf(s)) }},
		{"answer to another request", "wrong answer", func(c *checker, s *sentRequest) { c.recordRun(runOf(s)); c.recordAnswer(s, newAnswer(200, "other b")) }},
		{"goes on at its version", "", func(c *checker, s *sentRequest) { recordResumed(c, s, "v1") }},
		{"goes on at another version", "joined", func(c *checker, s *sentRequest) { recordResumed(c, s, "v2") }},
		{"truncated answer", "wrong answer", func(c *checker, s *sentRequest) { c.recordRun(runOf(s)); c.recordAnswer(s, newAnswer(200, "r")) }},
		{"unknown request", "unknown request", func(c *checker, s *sentRequest) { c.recordRun(platformtest.Run{ID: "x"}) }},
		{"another body", "changed request", func(c *checker, s *sentRequest) { r := runOf(s); r.Body = "c"; c.recordRun(r) }},
		{"another team", "changed request", func(c *checker, s *sentRequest) { r := runOf(s); r.Team = smallTeam; c.recordRun(r) }},
		{"caller's key forwarded", "changed request", func(c *checker, s *sentRequest) { r := runOf(s); r.HasKey = true; c.recordRun(r) }},
		{"late", "held", func(c *checker, s *sentRequest) {
			s.sentAt = s.sentAt.Add(-2 * requestDeadline)
			c.recordAnswer(s, newAnswer(503, ""))
		}},
		{"late at a faulty instance", "", func(c *checker, s *sentRequest) {
			s.sentAt = s.sentAt.Add(-2 * requestDeadline)
			c.addFaultSpan(0, s.sentAt, s.sentAt.Add(time.Second))
			c.recordAnswer(s, newAnswer(503, ""))
		}},
		{"invalid response", "invalid response", func(c *checker, s *sentRequest) {
			a := newAnswer(200, "r b")
			a.Header = http.Header{brokenHeader: {"1"}}
			c.recordAnswer(s, a)
		}},
		{"invalid status", "invalid response", func(c *checker, s *sentRequest) { c.recordAnswer(s, newAnswer(0, "")) }},
		{"harmful part known", "", func(c *checker, s *sentRequest) { recordHarmful(c, s, maxLateHarmful) }},
		{"harmful part sent on", "harmful part", func(c *checker, s *sentRequest) { recordHarmful(c, s, maxLateHarmful+1) }},
		{"lost", "lost", func(c *checker, s *sentRequest) {
			c.recordAnswer(s, platformtest.Response{Err: http.ErrServerClosed})
			for range c.lostRequests(s.sentAt, time.Now()) {
				c.addViolation("lost", "")
			}
		}},
		{"above the quota", "quota", func(c *checker, s *sentRequest) {
			c.recordRun(runOf(s))
			c.checkQuota("large", time.Second, plainTokens-1)
		}},
		{"within the quota", "", func(c *checker, s *sentRequest) {
			c.recordRun(runOf(s))
			c.checkQuota("large", time.Second, plainTokens)
		}},
		{"too many repeated runs", "retry budget", func(c *checker, s *sentRequest) {
			s.kind = requestKinds[1]
			for range 4 {
				c.recordRun(runOf(s))
			}
			c.checkRetryBudget(time.Second, 1, 1)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			c := newChecker()
			s := newOrder("r")
			c.recordSend(s)
			row.record(c, s)
			if row.want == "" {
				check.Equal(len(c.violations), 0)
				return
			}
			check.Equal(len(c.violations), 1)
			check.True(strings.HasPrefix(c.violations[0], row.want))
		})
	}
}

// TestProxy checks that each fault takes effect on a link and ends with LinkHealthy.
func TestProxy(t *testing.T) {
	check := is.New(t)
	addr, server, err := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	check.NoErr(err)
	defer func() { _ = server.Close() }()
	p, err := newProxy(addr)
	check.NoErr(err)
	defer p.close()
	get := func(timeout time.Duration) error {
		c := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Get("http://" + p.addr())
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	check.NoErr(get(5 * time.Second))
	for _, f := range []LinkFault{LinkStalled, LinkStalledToTarget, LinkStalledToCaller} {
		p.setFault(f)
		check.True(get(100*time.Millisecond) != nil)
		p.setFault(LinkHealthy)
		check.NoErr(get(5 * time.Second))
	}
	p.setFault(LinkDelayed)
	start := time.Now()
	check.NoErr(get(5 * time.Second))
	check.True(time.Since(start) >= 2*linkDelay) // one delay in each direction
}
