package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

func order(id string) *sent {
	return &sent{kind: kinds[0], team: "large", Request: platformtest.Request{
		ID: id, Method: http.MethodPost, Path: "/order/new", Body: "b", Deadline: deadline,
	}}
}

func runOf(s *sent) platformtest.Run {
	return platformtest.Run{ID: s.ID, Upstream: "i-1", Method: s.Method, URI: s.Path, Team: s.team, Body: s.Body, At: time.Now()}
}

func answer(status int, body string) platformtest.Response {
	h := make(http.Header)
	h.Set("Retry-After", "1")
	return platformtest.Response{Status: status, Body: body, Header: h, NotRun: status == 429 || status == 503}
}

// TestLedger guards against a broken promise that the soak does not see, and
// against one that it sees where none is broken.
func TestLedger(t *testing.T) {
	for _, row := range []struct {
		name, want string
		play       func(l *ledger, s *sent)
	}{
		{"served", "", func(l *ledger, s *sent) { l.ran(runOf(s)); l.answered(s, answer(200, "r b")) }},
		{"refused", "", func(l *ledger, s *sent) { l.answered(s, answer(503, "")) }},
		{"run twice", "run twice", func(l *ledger, s *sent) { l.ran(runOf(s)); l.ran(runOf(s)) }},
		{"ran, then refused", "refused and run", func(l *ledger, s *sent) { l.ran(runOf(s)); l.answered(s, answer(503, "")) }},
		{"refused, then ran", "refused and run", func(l *ledger, s *sent) { l.answered(s, answer(429, "")); l.ran(runOf(s)) }},
		{"another's answer", "wrong answer", func(l *ledger, s *sent) { l.ran(runOf(s)); l.answered(s, answer(200, "other b")) }},
		{"half an answer", "wrong answer", func(l *ledger, s *sent) { l.ran(runOf(s)); l.answered(s, answer(200, "r")) }},
		{"unknown request", "unknown request", func(l *ledger, s *sent) { l.ran(platformtest.Run{ID: "x"}) }},
		{"another body", "changed request", func(l *ledger, s *sent) { r := runOf(s); r.Body = "c"; l.ran(r) }},
		{"another team", "changed request", func(l *ledger, s *sent) { r := runOf(s); r.Team = smallTeam; l.ran(r) }},
		{"key passed on", "changed request", func(l *ledger, s *sent) { r := runOf(s); r.HasKey = true; l.ran(r) }},
		{"late", "held", func(l *ledger, s *sent) { s.at = s.at.Add(-2 * deadline); l.answered(s, answer(503, "")) }},
		{"late at a harmed instance", "", func(l *ledger, s *sent) {
			s.at = s.at.Add(-2 * deadline)
			l.disturb(0, s.at, s.at.Add(time.Second))
			l.answered(s, answer(503, ""))
		}},
		{"lost", "lost", func(l *ledger, s *sent) {
			l.answered(s, platformtest.Response{Err: http.ErrServerClosed})
			for range l.lost(s.at, time.Now()) {
				l.breach("lost", "")
			}
		}},
		{"above the quota", "quota", func(l *ledger, s *sent) { l.ran(runOf(s)); l.quota("large", time.Second, plainTokens-1) }},
		{"within the quota", "", func(l *ledger, s *sent) { l.ran(runOf(s)); l.quota("large", time.Second, plainTokens) }},
		{"too many repeats", "retry budget", func(l *ledger, s *sent) {
			s.kind = kinds[1]
			for range 4 {
				l.ran(runOf(s))
			}
			l.repeats(time.Second, 1, 1)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			l := newLedger()
			s := order("r")
			l.send(s)
			row.play(l, s)
			if row.want == "" {
				check.Equal(len(l.breaches), 0)
				return
			}
			check.Equal(len(l.breaches), 1)
			check.True(strings.HasPrefix(l.breaches[0], row.want))
		})
	}
}

// TestProxy guards against a fault that a link does not have.
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
	for _, f := range []LinkFault{LinkSilent, LinkCutThere, LinkCutBack} {
		p.set(f)
		check.True(get(100*time.Millisecond) != nil)
		p.set(LinkHealthy)
		check.NoErr(get(5 * time.Second))
	}
	p.set(LinkDelayed)
	start := time.Now()
	check.NoErr(get(5 * time.Second))
	check.True(time.Since(start) >= 2*linkDelay) // there and back
}
