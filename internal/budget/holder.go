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

// Holder admits requests at one entry instance by spending tokens from grants.
type Holder struct {
	opts    Options
	hash    uint64
	fleet   Fleet
	tracker *Tracker
	owner   *Owner
	peer    Peer

	// pools maps team ids to *grantPool.
	pools    sync.Map
	messages atomic.Uint64
	limiter  *rate.Limiter
	backoffs ownerBackoffs
}

// NewHolder returns a holder without grants. It calls owner directly for the
// shares that this instance owns, and uses peer for all others.
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

// Spend is Reserve for a request whose token count is exact and needs no
// settlement.
func (h *Holder) Spend(ctx context.Context, team string, tokens float64) error {
	_, err := h.Reserve(ctx, team, tokens)
	return err
}

// Reserve spends the estimated tokens of a request, waiting for a grant if
// necessary. Errors are *errkind.Error: over_rate when the shares cannot cover
// the request, with RetryAfter unless it exceeds the burst; view_stale while
// this instance's view is too old; forbidden for an unknown team; and
// deadline_unmet when ctx ends first.
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
		// The process may have been paused after it spent the tokens, and the
		// grant may have expired since.
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

func (h *Holder) tryReserve(ctx context.Context, p *grantPool, tokens float64) (Reservation, error) {
	if !h.fleet.MayWork() {
		return Reservation{}, errViewStale()
	}
	now := time.Now()
	h.opts.step(SpendStart)
	res, paid, ok := p.reserve(now, tokens)
	h.opts.step(SpendTaken)
	h.chargeDebt(p.id, now, paid)
	if ok {
		return res, nil
	}
	return h.wait(ctx, p, tokens)
}

// wait queues the request until it gets tokens or ctx ends. One goroutine per team
// asks for tokens, so that requests arriving together cost one message.
func (h *Holder) wait(ctx context.Context, p *grantPool, tokens float64) (Reservation, error) {
	w := &waiter{tokens: tokens, done: make(chan outcome, 1)}
	if p.enqueue(w) {
		go h.refill(p)
	}
	select {
	case out := <-w.done:
		return out.res, out.err
	case <-ctx.Done():
	}
	if p.remove(w) {
		return Reservation{}, errkind.Wrap(errkind.DeadlineUnmet, "waiting for tokens of the team's budget", ctx.Err())
	}
	out := <-w.done
	return out.res, out.err
}

func (h *Holder) pool(team string) *grantPool {
	if p, ok := h.pools.Load(team); ok {
		return p.(*grantPool)
	}
	p, _ := h.pools.LoadOrStore(team, &grantPool{id: team})
	return p.(*grantPool)
}

func (h *Holder) charge(team string, at time.Time, tokens float64) {
	if h.opts.OnSpend != nil {
		h.opts.OnSpend(Charge{Team: team, At: at, Tokens: tokens})
	}
}

func (h *Holder) chargeDebt(team string, at time.Time, paid debtPaid) {
	if paid > 0 {
		h.charge(team, at, float64(paid))
	}
}

// Sweep removes the state of teams and owners that are no longer in the view. It
// should be called periodically, for example once a minute.
func (h *Holder) Sweep() {
	own := h.tracker.At(h.fleet.View())
	live := make(map[string]bool, len(own.entries))
	for _, e := range own.entries {
		live[e.incarnation] = true
	}
	h.backoffs.retain(func(incarnation string) bool { return live[incarnation] })
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
