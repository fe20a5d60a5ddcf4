package upstream

import (
	"math"
	"net/http"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/speed"
)

// newTicket returns the ticket of an attempt that is sent now. The estimate is made again,
// since a request may have waited after Pick.
func (p *Pool) newTicket(s *state, c *Choice, q *Query, now time.Time) *Ticket {
	model := p.modelSpeed(q)
	t := &Ticket{pool: p, state: s, name: q.Name(), sentAt: now, model: q.Model}
	// The prompt of a smaller model holds up the next ones for a shorter time.
	t.pendingTokens = int(math.Round(model * float64(c.UncachedTokens)))
	l := s.loadSnapshot(now, p.dataCentre)
	if q.Model != "" {
		t.estimate = s.speed.FirstToken(l.work(c.UncachedTokens, model), now)
	}
	t.typicalWork, t.longestPause = s.speed.TypicalPlain(), s.speed.LongestPause(now)
	// The time at a cold upstream is not its usual one, and that of plain work at a full one
	// includes a wait. An engine's response that is no stream comes after the last token.
	if q.Model == "" {
		t.learns = l.queued == 0 && l.runningNow() < max(1, s.upstream.Capacity)
	} else {
		t.learns = q.Streams
	}
	t.learns = t.learns && !s.cold(now)
	return t
}

// LearnSpeed takes in the time to the response header, if it is that of a request which the
// upstream ran. It reports whether the response is the first of this upstream whose load
// could not be decoded.
func (t *Ticket) LearnSpeed(status int, a fleet.ResponseAttributes) (firstInvalidLoad bool) {
	now := time.Now()
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	s := t.state
	if a.InvalidLoad != "" && !s.loadInvalid {
		s.loadInvalid, firstInvalidLoad = true, true
	}
	if !t.learns || a.NotExecuted || status/100 != http.StatusOK/100 || a.Instance != "" && a.Instance != s.upstream.ID {
		return firstInvalidLoad
	}
	t.learns = false
	if t.model == "" {
		s.speed.ObservePlain(now.Sub(t.sentAt), now)
	} else {
		s.speed.ObserveFirstToken(&t.estimate, t.model, now.Sub(t.sentAt), now)
	}
	return firstInvalidLoad
}

// learnUnanswered takes in an attempt without a response, which took at least as long as
// it was waited for. Otherwise only the fast responses of a slow upstream would count. The
// caller holds the lock.
func (t *Ticket) learnUnanswered(o Outcome, now time.Time) {
	waited := now.Sub(t.sentAt)
	if !t.learns || o != Stalled && o != Abandoned {
		return
	}
	if t.model == "" {
		if typical := t.state.speed.TypicalPlain(); typical > 0 && waited > typical {
			t.state.speed.ObservePlain(waited, now)
		}
	} else if waited > t.estimate.Total() {
		t.state.speed.ObserveFirstToken(&t.estimate, t.model, waited, now)
	}
}

// TypicalWork returns the typical time of the upstream's work as of the sending, for a
// service without models; 0 is unknown.
func (t *Ticket) TypicalWork() time.Duration { return t.typicalWork }

// LongestPause returns the longest interval between events of the upstream's streams
// shortly before the sending; 0 is none.
func (t *Ticket) LongestPause() time.Duration { return t.longestPause }

// Estimate returns the estimated time to first token as of the sending; it is zero for a
// service without models.
func (t *Ticket) Estimate() speed.Estimate { return t.estimate }
