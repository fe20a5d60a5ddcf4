package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/speed"
)

// Ticket tracks one attempt at an upstream from Begin to End.
type Ticket struct {
	pool          *Pool
	state         *state
	name          string
	pendingTokens int
	ended         bool

	// sentAt is when the attempt began, model its model, and estimate that of its first
	// token as of then.
	sentAt   time.Time
	model    string
	estimate speed.Estimate
	// typicalWork is the typical time of the upstream's work for a service without models,
	// and longestPause the longest recent interval between events of its streams.
	typicalWork, longestPause time.Duration
	// learns tells that the time to the header says something of the upstream's speed.
	learns bool
	events eventTimes
	// busy is nil unless the number of the service's servers is decided here.
	busy *busyMean
	// crossing counts the attempt's bytes if it leaves the data centre, or is nil.
	crossing *crossing
	// received is the number of bytes of the response.
	received int
}

// Begin starts an attempt; the caller must call End on the ticket. It returns
// no ticket if the upstream is no longer usable, wants a pause, or is at its rate limit. Pick
// has checked this already, but many requests may have waited since then for the same load,
// and they all continue at once.
func (p *Pool) Begin(c *Choice, q *Query) (*Ticket, Unavailable) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[c.Upstream.ID]
	if !ok || !p.usableFor(q, s, now) {
		return nil, changed("the upstream is no longer usable")
	}
	if s.said.pause(now) > 0 {
		// The next Pick chooses another one.
		return nil, changed("the upstream wants no requests for a while")
	}
	if wait, needsPermit := p.sendWait(s, now); !c.Permitted && (wait > 0 || needsPermit) {
		// If it has turned cold since Pick, the next Pick asks for a permit.
		return nil, atLimit(wait)
	}
	t := p.newTicket(s, c, q, now)
	s.sends.Add(now)
	s.lastSent = now
	s.inFlight++
	t.crossing = p.beginCrossing(s, c, q)
	s.pendingTokens += t.pendingTokens
	if t.busy = p.busyOf(s, now); t.busy != nil {
		t.busy.add(1, now)
	}
	if q.Model != "" {
		u := s.usage(t.name)
		u.inFlight++
		u.sent++
		hashes := p.hashPrompt(q)
		p.countPrompt(s, q, hashes, now)
		s.prefixes.add(hashes.prefixes, now)
	}
	return t, Unavailable{}
}

// HeadersReceived records the response headers. An engine sends them once it
// has read the prompt. It returns the rate limit that applied until now.
func (t *Ticket) HeadersReceived(a fleet.ResponseAttributes) (limitBefore float64) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.promptRead()
	t.state.lastContact = time.Now()
	if a.HasLoad {
		t.state.headerRunning, t.state.headerQueued, t.state.headerAt = a.Running, a.Waiting, time.Now()
		t.state.speed.ObserveWorkTime(a.WorkTime, time.Now())
	}
	limitBefore = t.state.rateLimit(time.Now())
	if a.Instance == "" || a.Instance == t.state.upstream.ID {
		t.state.headerLimit, t.state.headerLimitAt = a.RateLimit, time.Now()
	}
	return limitBefore
}

// DataReceived records that n bytes of the response body arrived.
func (t *Ticket) DataReceived(n int) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.state.lastContact = time.Now()
	t.received += n
	t.crossing.addBytes(n)
}

func (t *Ticket) promptRead() {
	t.state.pendingTokens -= t.pendingTokens
	t.pendingTokens = 0
}

// End ends the attempt. Calls after the first have no effect.
func (t *Ticket) End(o Outcome) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.promptRead()
	t.learnEvents(time.Now())
	t.learnUnanswered(o, time.Now())
	t.state.inFlight--
	if t.busy != nil {
		t.busy.add(-1, time.Now())
	}
	if u, ok := t.state.usageByName[t.name]; ok {
		u.inFlight--
	}
	t.state.health.record(o, time.Now())
	if o == Served {
		t.pool.recordAnswerBytes(t.state.upstream.Service, t.received)
	}
	if o == Unreachable {
		t.state.prefixes.clear()
	}
}
