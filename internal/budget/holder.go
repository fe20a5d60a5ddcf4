package budget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// Holder admits requests at one entry instance by spending granted tokens.
type Holder struct {
	opts    Options
	hash    uint64
	fleet   Fleet
	tracker *Tracker
	owner   *Owner
	peer    Peer

	// pools maps team ids to *pool.
	pools    sync.Map
	messages atomic.Uint64
	limiter  *rate.Limiter
	suspects suspects
}

// NewHolder returns a holder without grants. Shares that this instance owns
// are asked of owner directly, all others through peer.
func NewHolder(opts Options, fleet Fleet, tracker *Tracker, owner *Owner, peer Peer) *Holder {
	opts = opts.withDefaults()
	return &Holder{
		opts:    opts,
		hash:    xxhash.Sum64String(opts.Self),
		fleet:   fleet,
		tracker: tracker,
		owner:   owner,
		peer:    peer,
		limiter: rate.NewLimiter(rate.Limit(opts.RequestsPerS), opts.RequestBurst),
	}
}

// Messages returns the number of requests sent to other instances.
func (h *Holder) Messages() uint64 { return h.messages.Load() }

// Spend is Reserve for a request whose count is exact.
func (h *Holder) Spend(ctx context.Context, team string, tokens float64) error {
	_, err := h.Reserve(ctx, team, tokens)
	return err
}

// Reserve spends the estimated tokens of a request. Errors are *errkind.Error:
// over_rate with RetryAfter when the budget is used up, view_stale while this
// instance may not work, forbidden for an unknown team, and deadline_unmet when
// ctx ends first.
func (h *Holder) Reserve(ctx context.Context, team string, tokens float64) (Reservation, error) {
	if tokens <= 0 {
		return Reservation{}, nil
	}
	p := h.pool(team)
	for {
		res, err := h.tryReserve(ctx, p, tokens)
		if err != nil {
			return Reservation{}, err
		}
		// The grant may have ended while this process was paused after taking from it.
		res.at = time.Now()
		if !res.at.Before(res.expires) {
			continue
		}
		if !h.fleet.MayWork() {
			return Reservation{}, errViewStale()
		}
		res.holder = h
		h.charge(team, res.at, tokens)
		return res, nil
	}
}

func (h *Holder) tryReserve(ctx context.Context, p *pool, tokens float64) (Reservation, error) {
	if !h.fleet.MayWork() {
		return Reservation{}, errViewStale()
	}
	now := time.Now()
	h.opts.step(SpendStart)
	res, settled, ok := p.take(now, tokens)
	h.opts.step(SpendTaken)
	h.chargeDebt(p.id, now, settled)
	if ok {
		return res, nil
	}
	return h.wait(ctx, p, tokens)
}

// wait queues the request and lets one goroutine per team ask for tokens, so
// that requests arriving together cost one message.
func (h *Holder) wait(ctx context.Context, p *pool, tokens float64) (Reservation, error) {
	w := &waiter{tokens: tokens, done: make(chan outcome, 1)}
	if p.join(w) {
		go h.refill(p)
	}
	select {
	case out := <-w.done:
		return out.res, out.err
	case <-ctx.Done():
	}
	if p.leave(w) {
		return Reservation{}, errkind.Wrap(errkind.DeadlineUnmet, "waiting for tokens of the team's budget", ctx.Err())
	}
	out := <-w.done
	return out.res, out.err
}

func (h *Holder) pool(team string) *pool {
	if p, ok := h.pools.Load(team); ok {
		return p.(*pool)
	}
	p, _ := h.pools.LoadOrStore(team, &pool{id: team})
	return p.(*pool)
}

func (h *Holder) charge(team string, at time.Time, tokens float64) {
	if h.opts.OnSpend != nil {
		h.opts.OnSpend(Charge{Team: team, At: at, Tokens: tokens})
	}
}

func (h *Holder) chargeDebt(team string, at time.Time, settled paid) {
	if settled > 0 {
		h.charge(team, at, float64(settled))
	}
}

// Sweep forgets teams and owners that the view no longer has. It may be called
// at any time, once a minute for example.
func (h *Holder) Sweep() {
	own := h.tracker.At(h.fleet.View())
	live := make(map[string]bool, len(own.entries))
	for _, e := range own.entries {
		live[e.incarnation] = true
	}
	h.suspects.retain(func(incarnation string) bool { return live[incarnation] })
	h.pools.Range(func(id, _ any) bool {
		if own.Team(id.(string)) == nil {
			h.pools.Delete(id)
		}
		return true
	})
}

func errViewStale() error {
	return errkind.New(errkind.ViewStale, "this instance's view of the fleet is too old to spend a team's budget")
}
