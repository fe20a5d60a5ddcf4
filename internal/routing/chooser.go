package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// Chooser chooses upstreams for one entry instance. It is safe for concurrent
// use.
type Chooser struct {
	opts Options

	mu        sync.Mutex
	rng       *rand.Rand
	upstreams map[string]*upstream
	prefixes  *prefixCache
}

// New returns a chooser that draws from rng, which it owns from then on.
func New(opts Options, rng *rand.Rand) *Chooser {
	opts = opts.withDefaults()
	return &Chooser{
		opts:      opts,
		rng:       rng,
		upstreams: make(map[string]*upstream),
		prefixes:  newPrefixCache(opts.Prefixes, opts.PrefixLife),
	}
}

// Choose picks a home and counts the attempt as in flight there; call Done
// with the result. It returns an *errkind.Error of kind upstream_unavailable
// without homes, and upstream_busy when all of them refused or failed lately.
func (c *Chooser) Choose(q Query) (string, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(q.Homes) == 0 {
		return "", errkind.New(errkind.UpstreamUnavailable, "no upstream is decided to hold the model")
	}
	best := c.twoChoices(&q, now)
	if best == nil {
		return "", c.busy(&q, now)
	}
	if near := c.affine(&q, now, best); near != nil {
		best = near
	}
	best.own++
	c.remember(&q, best, now)
	return best.id, nil
}

// twoChoices returns the less loaded of two random homes, nil if none can be
// chosen.
func (c *Chooser) twoChoices(q *Query, now time.Time) *upstream {
	first := c.draw(q, now, nil)
	if first == nil {
		return nil
	}
	second := c.draw(q, now, first)
	if second != nil && second.load() < first.load() {
		return second
	}
	return first
}

// draws is the number of random tries before the homes are scanned in order.
const draws = 4

func (c *Chooser) draw(q *Query, now time.Time, not *upstream) *upstream {
	n := len(q.Homes)
	for range draws {
		u := c.get(q.Homes[c.rng.IntN(n)])
		if u != not && c.eligible(q, u, now) {
			return u
		}
	}
	start := c.rng.IntN(n)
	for i := range n {
		u := c.get(q.Homes[(start+i)%n])
		if u != not && c.eligible(q, u, now) {
			return u
		}
	}
	return nil
}

func (c *Chooser) eligible(q *Query, u *upstream, now time.Time) bool {
	return !u.excluded(now) && !slices.Contains(q.Tried, u.id)
}

// affine returns the home with the longest cached prefix if its load is
// bounded by that of best.
func (c *Chooser) affine(q *Query, now time.Time, best *upstream) *upstream {
	for _, prefix := range q.Prefixes {
		for _, h := range c.prefixes.find(prefix) {
			u, ok := c.upstreams[h.upstream]
			if !ok || !h.is(u) || !h.until.IsZero() && now.After(h.until) {
				continue
			}
			if c.eligible(q, u, now) && c.bounded(u, best) && slices.Contains(q.Homes, u.id) {
				return u
			}
		}
	}
	return nil
}

func (c *Chooser) bounded(u, best *upstream) bool {
	return u.load() <= 1 && u.load() <= c.opts.AffinityFactor*best.load()+c.opts.AffinitySlack
}

// remember expects the prefixes of a request at the upstream that runs it,
// because the cache event comes too late for a burst.
func (c *Chooser) remember(q *Query, u *upstream, now time.Time) {
	for _, prefix := range q.Prefixes {
		c.prefixes.put(prefix, u, now.Add(c.opts.PrefixLife))
	}
}

// busy says when the first excluded home may be chosen again.
func (c *Chooser) busy(q *Query, now time.Time) error {
	wait := c.opts.MaxExclusion
	for _, id := range q.Homes {
		if u := c.get(id); !slices.Contains(q.Tried, id) {
			wait = min(wait, u.excludedUntil.Sub(now))
		}
	}
	wait = max(wait, c.opts.MinExclusion)
	return errkind.New(errkind.UpstreamBusy, "every upstream of the model refused or failed lately").WithRetryAfter(wait)
}

func (c *Chooser) get(id string) *upstream {
	u, ok := c.upstreams[id]
	if !ok {
		u = &upstream{id: id, limit: defaultLimit}
		u.wait = &backoff.ExponentialBackOff{
			InitialInterval: c.opts.MinExclusion,
			Multiplier:      2,
			MaxInterval:     c.opts.MaxExclusion,
		}
		c.upstreams[id] = u
	}
	return u
}

// Retain forgets the upstreams that are not live. Those with requests in
// flight are kept.
func (c *Chooser) Retain(live func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, u := range c.upstreams {
		if u.own == 0 && !live(id) {
			delete(c.upstreams, id)
		}
	}
}
