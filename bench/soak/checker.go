package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// requestKind is a kind of request, with its route.
type requestKind struct {
	name, path, model string
	// A nonIdempotent request must run at most once. A stream may be resumed.
	nonIdempotent, stream bool
}

var requestKinds = []requestKind{
	{name: "order", path: "/order/new", nonIdempotent: true},
	{name: "lookup", path: "/lookup/1?q=2"},
	{name: "draft", path: "/draft/x", model: "m1", stream: true},
	{name: "adapted", path: "/draft/y", model: "m2/a1", stream: true},
	{name: "rare", path: "/draft/z", model: "m3", stream: true},
}

// sentRequest is a request of a caller, with what is known about it so far.
type sentRequest struct {
	platformtest.Request
	kind requestKind
	team string
	// entry is the index of the entry instance that received the request.
	entry  int
	sentAt time.Time
	// answeredAt is zero until the answer arrives.
	answeredAt time.Time
	answer     platformtest.Response
	runs       []platformtest.Run
	// harmful is true if the request crashes the engines that run it.
	harmful bool
	// first is the request that brought the first event of the stream that this one resumes,
	// or nil.
	first *sentRequest
	// canceled is true if the caller closed the request before the answer.
	canceled bool
}

// mayHaveBegunAt reports whether an upstream of the version has run the request from its start.
func (s *sentRequest) mayHaveBegunAt(version string) bool {
	if s.first != nil {
		s = s.first
	}
	return slices.ContainsFunc(s.runs, func(r platformtest.Run) bool { return r.ResumeAfter == "" && r.Version == version })
}

// resume returns the request with which the caller of a stream that broke off resumes it, or nil
// if it has got no event or all of them.
func (s *sentRequest) resume(a platformtest.Response) *sentRequest {
	events := strings.Count(a.Body, "\n\n")
	if first, err := strconv.Atoi(s.ResumeAfter); err == nil {
		events += first
	}
	if !s.kind.stream || a.Err == nil || events == 0 || events >= streamEvents {
		return nil
	}
	out := &sentRequest{Request: s.Request, kind: s.kind, team: s.team, entry: s.entry, first: s}
	if s.first != nil {
		out.first = s.first
	}
	out.ID, out.Resumes, out.ResumeAfter = s.ID+"+", out.first.ID, strconv.Itoa(events)
	return out
}

// checker records what callers and upstreams observe, and collects violations of
// the platform's guarantees. Its methods lock mu, except addViolation and faultFree,
// whose callers hold it.
type checker struct {
	mu       sync.Mutex
	requests map[string]*sentRequest
	// order lists the request ids in the order of sending.
	order      []string
	violations []string
	// harmed are the times at which engines crashed under harmful requests.
	harmed []time.Time
	// faultSpans holds, per entry instance, the spans in which it or the link of
	// its callers was faulty.
	faultSpans map[int][]span
}

type span struct{ from, to time.Time }

func newChecker() *checker {
	return &checker{requests: make(map[string]*sentRequest), faultSpans: make(map[int][]span)}
}

func (c *checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

func (c *checker) recordSend(s *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.sentAt = time.Now()
	c.requests[s.ID] = s
	c.order = append(c.order, s.ID)
}

func (c *checker) addFaultSpan(entry int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultSpans[entry] = append(c.faultSpans[entry], span{from, to})
}

// setFaultEnd sets the end of the fault span that began at from.
func (c *checker) setFaultEnd(entry int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, s := range c.faultSpans[entry] {
		if s.from.Equal(from) {
			c.faultSpans[entry][i].to = to
		}
	}
}

// faultFree reports whether no fault affected an entry instance between from and to.
func (c *checker) faultFree(entry int, from, to time.Time) bool {
	return !slices.ContainsFunc(c.faultSpans[entry], func(s span) bool { return s.from.Before(to) && from.Before(s.to) })
}

// recordRun records that an upstream runs a request, and checks the request.
func (c *checker) recordRun(r platformtest.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.requests[r.ID]
	if !ok {
		c.addViolation("unknown request", "%s ran %q", r.Upstream, r.ID)
		return
	}
	if r.Body != s.Body || r.URI != s.Path || r.Method != s.Method || r.Team != s.team || r.HasKey {
		c.addViolation("changed request", "%s ran %s as %s %s of %q with a body of %d bytes", r.Upstream, r.ID, r.Method, r.URI, r.Team, len(r.Body))
	}
	s.runs = append(s.runs, r)
	if s.kind.nonIdempotent && len(s.runs) > 1 {
		c.addViolation("run twice", "%s at %s and %s", r.ID, s.runs[0].Upstream, r.Upstream)
	}
	if r.ResumeAfter != "" && !s.mayHaveBegunAt(r.Version) {
		c.addViolation("joined", "%s goes on at %s of version %s, which has not begun it", r.ID, r.Upstream, r.Version)
	}
	if s.answer.NotRun {
		c.addViolation("refused and run", "%s was answered %d, but runs at %s", r.ID, s.answer.Status, r.Upstream)
	}
}

// recordCancel records that a caller canceled a request before the answer. The
// request then counts neither as served nor as lost.
func (c *checker) recordCancel(s *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.canceled = true
}

// maxLateness is how long after its deadline an answer may come: the platform's
// bound of 500 ms, plus 1 s for a busy machine.
const maxLateness = 500*time.Millisecond + time.Second

// recordAnswer records an answer and checks it.
func (c *checker) recordAnswer(s *sentRequest, a platformtest.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.answeredAt, s.answer = time.Now(), a
	if a.NotRun && len(s.runs) > 0 {
		c.addViolation("refused and run", "%s was answered %d, but ran at %s", s.ID, a.Status, s.runs[0].Upstream)
	}
	if late := s.answeredAt.Sub(s.sentAt) - s.Deadline; late > maxLateness && c.faultFree(s.entry, s.sentAt, s.answeredAt) {
		c.addViolation("held", "%s at entry %d ended %v after its deadline", s.ID, s.entry, late.Round(time.Millisecond))
	}
	if a.Err == nil && (a.Status < 200 || a.Status > 599) {
		c.addViolation("invalid response", "%s was answered with status %d", s.ID, a.Status)
	}
	if a.Header.Get(brokenHeader) != "" {
		c.addViolation("invalid response", "%s got one with status %d", s.ID, a.Status)
	}
	if a.Err != nil || a.Status != 200 {
		return
	}
	want := s.ID + " " + s.Body
	if s.kind.stream {
		var b strings.Builder
		after, _ := strconv.Atoi(s.ResumeAfter)
		for i := after + 1; i <= streamEvents; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, s.ID)
		}
		want = b.String()
	}
	if a.Body != want {
		c.addViolation("wrong answer", "%s got %q", s.ID, a.Body[:min(len(a.Body), 200)])
	}
}

// checkQuota checks that the team's requests ran at most limit tokens in every
// window. Only the first run of each request counts.
func (c *checker) checkQuota(team string, window time.Duration, limit float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var runs []platformtest.Run
	for _, s := range c.requests {
		if s.team == team && len(s.runs) > 0 {
			runs = append(runs, s.runs[0])
		}
	}
	slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	first, sum := 0, 0.0
	for _, r := range runs {
		for r.At.Sub(runs[first].At) > window {
			sum -= tokensOf(runs[first])
			first++
		}
		if sum += tokensOf(r); sum > limit {
			c.addViolation("quota", "team %s got %.0f tokens in %v, at most %.0f are allowed", team, sum, window, limit)
			return
		}
	}
}

// tokensOf returns the tokens that a run is charged.
func tokensOf(r platformtest.Run) float64 {
	if r.Tokens == 0 {
		return plainTokens
	}
	return r.Tokens
}

// checkRetryBudget checks that every window has at most ratio times the requests,
// plus slack, in repeated runs. The requests are those sent in the same window or
// in the one before, whichever are more.
func (c *checker) checkRetryBudget(window time.Duration, ratio, slack float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var requests, repeats []time.Time
	for _, id := range c.order {
		s := c.requests[id]
		requests = append(requests, s.sentAt)
		for i, r := range s.runs {
			if i > 0 {
				repeats = append(repeats, r.At)
			}
		}
	}
	slices.SortFunc(repeats, time.Time.Compare)
	countWithin := func(ts []time.Time, from, to time.Time) (n int) {
		for _, t := range ts {
			if !t.Before(from) && t.Before(to) {
				n++
			}
		}
		return n
	}
	for _, t := range repeats {
		n := countWithin(repeats, t, t.Add(window))
		sent := max(countWithin(requests, t, t.Add(window)), countWithin(requests, t.Add(-window), t))
		if limit := ratio*float64(sent) + slack; float64(n) > limit {
			c.addViolation("retry budget", "%d repeated runs in %v for %d requests", n, window, sent)
			return
		}
	}
}

// countServedSince returns how many requests were sent since t and how many of
// them were served. It leaves out canceled requests and those of the small team
// that were refused because the team exceeded its rate.
func (c *checker) countServedSince(t time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.order {
		s := c.requests[id]
		if s.sentAt.Before(t) || s.canceled || s.harmful || s.team == smallTeam && s.answer.Status == http.StatusTooManyRequests {
			continue
		}
		sent++
		if s.answer.Err == nil && s.answer.Status == 200 {
			served++
		}
	}
	return sent, served
}

// lostRequests describes the requests sent between from and to that got neither
// a complete answer nor a refusal with Retry-After.
func (c *checker) lostRequests(from, to time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, id := range c.order {
		s := c.requests[id]
		if s.canceled || s.harmful || s.sentAt.Before(from) || s.sentAt.After(to) {
			continue
		}
		refused := s.answer.NotRun && s.answer.Header.Get("Retry-After") != ""
		if s.answer.Err != nil || s.answeredAt.IsZero() || s.answer.Status != 200 && !refused {
			out = append(out, fmt.Sprintf("%s (%s) at entry %d: status %d, error %v", id, s.kind.name, s.entry, s.answer.Status, s.answer.Err))
		}
	}
	return out
}
