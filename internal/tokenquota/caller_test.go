package tokenquota

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/admission"
)

// callerKind is a kind of request, with what its callers expect.
type callerKind struct {
	admission.Ask
	objective, deadline, patience time.Duration
	// hasty callers come back after a tenth of the time that they are told.
	hasty bool
}

var (
	chat           = callerKind{Ask: admission.Ask{Tokens: 1126}, objective: 500 * time.Millisecond, deadline: 15 * time.Second, patience: 2 * time.Second}
	premiumDigest  = callerKind{Ask: admission.Ask{Tokens: 9245, Urgency: 2}, objective: 5 * time.Second, deadline: 15 * time.Second, patience: 20 * time.Second}
	standardDigest = callerKind{Ask: admission.Ask{Tokens: 9245, Urgency: 1}, objective: 800 * time.Millisecond, deadline: 5 * time.Second, patience: 3200 * time.Millisecond}
	cardCharge     = callerKind{Ask: admission.Ask{Tokens: 200, Urgency: 1}, objective: 120 * time.Millisecond, deadline: time.Second}
)

// What is counted of callers: those served, refused at first, refused again, served later than the
// objective, refused after a wait, the largest tenth, and the tokens of those served.
const (
	sent = iota
	served
	refused
	again
	late
	inVain
	largeSent
	largeServed
	tokensServed
	resultCount
)

type callerResults [resultCount]int

func (r *callerResults) share() float64 { return float64(r[served]) / float64(max(1, r[sent])) }

// callers plays callers at a group of limiters, as package gateway and the callers' retries do.
type callers struct {
	t       *testing.T
	group   *limiterGroup
	tasks   sync.WaitGroup
	mu      sync.Mutex
	rng     *rand.Rand
	results map[string]*callerResults
	spent   []timedTokens
	// comeEarly makes callers that are told a time beyond a third of what they have left come back
	// after that third. Otherwise they do not come back.
	comeEarly bool
}

func newCallers(t *testing.T, g *limiterGroup, seed uint64) *callers {
	return &callers{t: t, group: g, rng: rand.New(rand.NewPCG(seed, 9)), results: make(map[string]*callerResults)}
}

// call starts one caller, and counts its results under name. Sizes of a kind differ by a quarter.
func (c *callers) call(name string, k callerKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.results[name] == nil {
		c.results[name] = &callerResults{}
	}
	results, size, ask := c.results[name], 2*c.rng.Float64()-1, k.Ask
	ask.Digest = c.rng.Uint64()
	if k.Tokens > cardCharge.Tokens {
		ask.Tokens *= 1 + size/4
	}
	first, second := c.rng.IntN(len(c.group.limiters)), c.rng.IntN(len(c.group.limiters))
	c.tasks.Go(func() {
		start := time.Now()
		ok, waited, wait := c.attempt(c.group.limiters[first], k, ask, start.Add(k.deadline))
		atFirst, twice := ok, false
		if c.comeEarly {
			wait = min(wait, (k.deadline-time.Since(start))/3)
		}
		if !ok && wait <= (k.deadline-time.Since(start))/3 {
			if k.hasty {
				wait /= 10
			}
			time.Sleep(wait + 5*time.Millisecond) // for a new connection
			ok, _, _ = c.attempt(c.group.limiters[second], k, ask, start.Add(k.deadline))
			twice = !ok
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if ok {
			results[tokensServed] += int(ask.Tokens)
		}
		large := size > 0.8
		for what, is := range [resultCount]bool{true, ok, !atFirst, twice, ok && time.Since(start) > k.objective, waited && !atFirst, large, large && ok, false} {
			if is {
				results[what]++
			}
		}
	})
}

// attempt plays one request at an instance.
func (c *callers) attempt(l *Limiter, k callerKind, ask admission.Ask, deadline time.Time) (ok, waited bool, wait time.Duration) {
	caller := admission.Caller{Start: time.Now(), Deadline: deadline, Objective: k.objective}
	for ; ; waited = true {
		ask.Longest = caller.Longest(time.Now())
		ask.Returns = caller.Returns(time.Now())
		r := NewRequest(ask)
		r.Counted = waited
		d := l.Admit(c.t.Context(), "t", r)
		if d.Allowed {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.spent = append(c.spent, timedTokens{at: time.Now(), tokens: ask.Tokens})
			return true, waited, 0
		}
		_ = l.ReturnLoans(c.t.Context(), "t", d.Loans)
		if !d.Booked || !caller.MayWait(time.Now(), d.Wait) {
			return false, waited, d.Wait
		}
		time.Sleep(d.Wait)
	}
}

// mostInWindow returns the most tokens that were given out in a window.
func (c *callers) mostInWindow(window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range c.spent {
		for sum += s.tokens; s.at.Sub(c.spent[first].at) > window; first++ {
			sum -= c.spent[first].tokens
		}
		most = max(most, sum)
	}
	return most
}
