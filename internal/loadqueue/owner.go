package loadqueue

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Views gives the folded view and tells whether it is young enough to grant on.
type Views interface {
	View() *fold.View
	MayWork() bool
}

// Owner hands out the load slots while its instance is the first live entry
// instance in hash order. Every entry instance has one. After a takeover it
// counts all slots as in use until every lease of its predecessor has lapsed.
type Owner struct {
	self  record.InstanceRef
	views Views

	mu sync.Mutex
	// since is when the instance saw that it owns the queue; zero while it does not.
	since time.Time
	// last is the last young view that ownership was read from, and read is when.
	last    *fold.View
	read    time.Time
	seq     uint64
	waiting map[string]*waiter
	leases  map[string]*lease
	// given is the memory loaded for each team over its weight, in MiB.
	given map[string]float64
	// halved is when given was last halved, so that old use is forgotten.
	halved time.Time
	rate   *rate.Limiter
	timer  *time.Timer

	// noTakeover grants at once after a takeover, for the negative control.
	noTakeover bool
}

// NewOwner returns the owner role of the entry instance self.
func NewOwner(self record.InstanceRef, views Views) *Owner {
	o := &Owner{self: self, views: views, given: make(map[string]float64)}
	o.clear()
	return o
}

// Slot waits up to holdTime for a slot. The agent asks again while the answer
// is not granted. Errors are of kind not_home when this instance does not own
// the queue, and view_stale.
func (o *Owner) Slot(ctx context.Context, q SlotRequest) (SlotAnswer, error) {
	w, err := o.enqueue(q)
	if err != nil {
		return SlotAnswer{}, err
	}
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	select {
	case <-w.ready:
	case <-hold.C:
	case <-ctx.Done():
		return SlotAnswer{}, ctx.Err()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_, granted := o.leases[q.ID]
	return SlotAnswer{Offset: o.views.View().Offset, ID: q.ID, Granted: granted, TTL: ttl(q.Class)}, nil
}

func (o *Owner) enqueue(q SlotRequest) (*waiter, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.owns(); err != nil {
		return nil, err
	}
	now := time.Now()
	w := o.waiting[q.ID]
	if w == nil {
		o.seq++
		w = &waiter{SlotRequest: q, seq: o.seq, deadline: now.Add(time.Duration(q.DeadlineMS) * time.Millisecond), ready: make(chan struct{})}
		if _, held := o.leases[q.ID]; held {
			close(w.ready)
			return w, nil
		}
		o.waiting[q.ID] = w
	}
	w.seen = now
	o.dispatch()
	return w, nil
}

// Renew extends the slots of an agent, and learns those that an earlier owner granted.
func (o *Owner) Renew(r Report) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.owns(); err != nil {
		return err
	}
	for _, s := range r.Slots {
		delete(o.waiting, s.ID)
		o.leases[s.ID] = &lease{HeldSlot: s, expires: time.Now().Add(ttl(s.Class))}
	}
	return nil
}

// Done takes a slot back. A request without a slot leaves the queue.
func (o *Owner) Done(d DoneRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.leases, d.ID)
	delete(o.waiting, d.ID)
	if o.owns() == nil {
		o.dispatch()
	}
	return nil
}

func (o *Owner) clear() {
	o.waiting = make(map[string]*waiter)
	o.leases = make(map[string]*lease)
	o.rate = nil
}

// dispatch grants what may be granted now and sets the timer for the next change.
func (o *Owner) dispatch() {
	now := time.Now()
	limits := o.views.View().Limits.WithDefaults()
	next := o.expire(now)
	for _, c := range []Class{Store, Adapter} {
		next = earlier(next, o.dispatchClass(c, limits, now))
	}
	if o.timer != nil {
		o.timer.Stop()
	}
	if next.IsZero() || len(o.waiting) == 0 {
		return
	}
	o.timer = time.AfterFunc(time.Until(next), o.tick)
}

func (o *Owner) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owns() == nil {
		o.dispatch()
	}
}

// dispatchClass grants slots of one class and returns when the next may become
// free without a call, zero if only a call can free one.
func (o *Owner) dispatchClass(c Class, limits config.Limits, now time.Time) time.Time {
	opens := o.since.Add(viewBound + ttl(c))
	if now.Before(opens) && !o.noTakeover {
		return opens
	}
	for {
		free := limit(c, limits) - o.inUse(c)
		w := o.best(c)
		if w == nil || free <= 0 || w.Preload && free < 2 {
			return time.Time{}
		}
		if at := o.token(c, limits, now); at.After(now) {
			return at
		}
		o.grant(w, now)
	}
}

func limit(c Class, l config.Limits) int {
	if c == Adapter {
		return l.AdapterLoads
	}
	return l.StoreLoads
}

// token takes a start from the store's rate or returns when one will be there.
func (o *Owner) token(c Class, l config.Limits, now time.Time) time.Time {
	if c == Adapter {
		return now
	}
	if o.rate == nil || o.rate.Limit() != rate.Limit(l.StoreLoadsPerS) {
		o.rate = rate.NewLimiter(rate.Limit(l.StoreLoadsPerS), 1)
	}
	r := o.rate.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return now.Add(wait)
}

func (o *Owner) grant(w *waiter, now time.Time) {
	delete(o.waiting, w.ID)
	o.leases[w.ID] = &lease{HeldSlot: HeldSlot{ID: w.ID, Class: w.Class, Checkpoint: w.Checkpoint}, expires: now.Add(ttl(w.Class))}
	if now.Sub(o.halved) > shareHalfLife {
		for team := range o.given {
			o.given[team] /= 2
		}
		o.halved = now
	}
	o.given[w.Team] += float64(w.MemoryMiB) / o.weight(w.Team)
	close(w.ready)
}

func (o *Owner) weight(team string) float64 {
	t, ok := o.views.View().Teams.Get(team)
	if !ok || t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// best returns the waiting load that comes first.
func (o *Owner) best(c Class) *waiter {
	var best *waiter
	var bestRank Candidate
	for _, w := range o.waiting {
		if w.Class != c {
			continue
		}
		r := o.candidate(w)
		if best == nil || r.Before(bestRank) {
			best, bestRank = w, r
		}
	}
	return best
}

func (o *Owner) candidate(w *waiter) Candidate {
	return Candidate{
		Preload:  w.Preload,
		Deadline: w.deadline,
		Value:    w.Value,
		Share:    o.given[w.Team],
		Arrival:  w.seq,
	}
}

func (o *Owner) inUse(c Class) (n int) {
	for _, l := range o.leases {
		if l.Class == c {
			n++
		}
	}
	return n
}

// expire drops lapsed leases, waiters whose deadline has passed and those that
// nobody asks for any more, and returns when the next lease lapses.
func (o *Owner) expire(now time.Time) (next time.Time) {
	for id, l := range o.leases {
		if !now.Before(l.expires) {
			delete(o.leases, id)
			continue
		}
		next = earlier(next, l.expires)
	}
	for id, w := range o.waiting {
		if now.After(w.deadline) || now.Sub(w.seen) > waiterLife {
			delete(o.waiting, id)
		}
	}
	return next
}

func earlier(x, y time.Time) time.Time {
	if x.IsZero() || !y.IsZero() && y.Before(x) {
		return y
	}
	return x
}
