package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// kind is a kind of request, with its route.
type kind struct {
	name, path, model string
	// once requests may run at most once; streams may be resumed.
	once, stream bool
}

var kinds = []kind{
	{name: "order", path: "/order/new", once: true},
	{name: "lookup", path: "/lookup/1?q=2"},
	{name: "draft", path: "/draft/x", model: "m1", stream: true},
	{name: "adapted", path: "/draft/y", model: "m2/a1", stream: true},
	{name: "rare", path: "/draft/z", model: "m3", stream: true},
}

// sent is a request of a caller.
type sent struct {
	platformtest.Request
	kind  kind
	team  string
	entry int
	at    time.Time
	// ended is the time of the answer; zero while there is none.
	ended  time.Time
	answer platformtest.Response
	runs   []platformtest.Run
	// gone tells that the caller left.
	gone bool
}

// ledger has what callers and upstreams have seen, and the promises that were
// broken.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*sent
	// order are the ids in the order of sending.
	order    []string
	breaches []string
	// disturbed are spans in which an entry instance or its callers' link was harmed.
	disturbed map[int][]span
}

type span struct{ from, to time.Time }

func newLedger() *ledger {
	return &ledger{requests: make(map[string]*sent), disturbed: make(map[int][]span)}
}

func (l *ledger) breach(rule, format string, args ...any) {
	l.breaches = append(l.breaches, rule+": "+fmt.Sprintf(format, args...))
}

func (l *ledger) send(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.at = time.Now()
	l.requests[s.ID] = s
	l.order = append(l.order, s.ID)
}

func (l *ledger) disturb(entry int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbed[entry] = append(l.disturbed[entry], span{from, to})
}

// settle sets the end of a span that began at a time.
func (l *ledger) settle(entry int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, s := range l.disturbed[entry] {
		if s.from.Equal(from) {
			l.disturbed[entry][i].to = to
		}
	}
}

// calm reports whether nothing harmed an entry instance in a span.
func (l *ledger) calm(entry int, from, to time.Time) bool {
	return !slices.ContainsFunc(l.disturbed[entry], func(s span) bool { return s.from.Before(to) && from.Before(s.to) })
}

// ran checks a request that an upstream runs.
func (l *ledger) ran(r platformtest.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.requests[r.ID]
	if !ok {
		l.breach("unknown request", "%s ran %q", r.Upstream, r.ID)
		return
	}
	if r.Body != s.Body || r.URI != s.Path || r.Method != s.Method || r.Team != s.team || r.HasKey {
		l.breach("changed request", "%s ran %s as %s %s of %q with a body of %d bytes", r.Upstream, r.ID, r.Method, r.URI, r.Team, len(r.Body))
	}
	s.runs = append(s.runs, r)
	if s.kind.once && len(s.runs) > 1 {
		l.breach("run twice", "%s at %s and %s", r.ID, s.runs[0].Upstream, r.Upstream)
	}
	if s.answer.NotRun {
		l.breach("refused and run", "%s was answered %d and runs at %s", r.ID, s.answer.Status, r.Upstream)
	}
}

// left notes that a caller left before the answer. The request is not missed.
func (l *ledger) left(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.gone = true
}

// lateness is what an answer may come after the deadline: the bound of the
// platform, and the time that a busy machine adds.
const lateness = 500*time.Millisecond + time.Second

// answered checks an answer.
func (l *ledger) answered(s *sent, a platformtest.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.ended, s.answer = time.Now(), a
	if a.NotRun && len(s.runs) > 0 {
		l.breach("refused and run", "%s was answered %d and ran at %s", s.ID, a.Status, s.runs[0].Upstream)
	}
	if late := s.ended.Sub(s.at) - s.Deadline; late > lateness && l.calm(s.entry, s.at, s.ended) {
		l.breach("held", "%s at entry %d ended %v after its deadline", s.ID, s.entry, late.Round(time.Millisecond))
	}
	if a.Err != nil || a.Status != 200 {
		return
	}
	want := s.ID + " " + s.Body
	if s.kind.stream {
		var b strings.Builder
		for i := 1; i <= streamEvents; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, s.ID)
		}
		want = b.String()
	}
	if a.Body != want {
		l.breach("wrong answer", "%s got %q", s.ID, a.Body[:min(len(a.Body), 200)])
	}
}

// quota checks that no team got more than its allowance in any window.
func (l *ledger) quota(team string, window time.Duration, most float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []platformtest.Run
	for _, s := range l.requests {
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
		if sum += tokensOf(r); sum > most {
			l.breach("quota", "team %s got %.0f tokens in %v, at most %.0f are allowed", team, sum, window, most)
			return
		}
	}
}

func tokensOf(r platformtest.Run) float64 {
	if r.Tokens == 0 {
		return plainTokens
	}
	return r.Tokens
}

// repeats checks the bound on further arrivals in any window.
func (l *ledger) repeats(window time.Duration, ratio, slack float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests, again []time.Time
	for _, id := range l.order {
		s := l.requests[id]
		requests = append(requests, s.at)
		for i, r := range s.runs {
			if i > 0 {
				again = append(again, r.At)
			}
		}
	}
	slices.SortFunc(again, time.Time.Compare)
	within := func(ts []time.Time, from, to time.Time) (n int) {
		for _, t := range ts {
			if !t.Before(from) && t.Before(to) {
				n++
			}
		}
		return n
	}
	for _, t := range again {
		n := within(again, t, t.Add(window))
		asked := max(within(requests, t, t.Add(window)), within(requests, t.Add(-window), t))
		if most := ratio*float64(asked) + slack; float64(n) > most {
			l.breach("retry budget", "%d further arrivals in %v for %d requests", n, window, asked)
			return
		}
	}
}

// servedSince returns the requests sent after a time and how many were served.
// What the small team is refused above its rate is not owed.
func (l *ledger) servedSince(t time.Time) (asked, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.order {
		s := l.requests[id]
		if s.at.Before(t) || s.gone || s.team == smallTeam && s.answer.Status == http.StatusTooManyRequests {
			continue
		}
		asked++
		if s.answer.Err == nil && s.answer.Status == 200 {
			served++
		}
	}
	return asked, served
}

// lost returns the requests sent within a span that got neither a whole answer
// nor a refusal that says when to come back.
func (l *ledger) lost(from, to time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, id := range l.order {
		s := l.requests[id]
		if s.gone || s.at.Before(from) || s.at.After(to) {
			continue
		}
		refused := s.answer.NotRun && s.answer.Header.Get("Retry-After") != ""
		if s.answer.Err != nil || s.ended.IsZero() || s.answer.Status != 200 && !refused {
			out = append(out, fmt.Sprintf("%s (%s) at entry %d: status %d, error %v", id, s.kind.name, s.entry, s.answer.Status, s.answer.Err))
		}
	}
	return out
}
