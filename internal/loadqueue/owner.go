package loadqueue

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Views returns the current view and reports whether it is recent enough to grant
// slots on.
type Views interface {
	View() *controlstate.View
	MayWork() bool
}

// Owner grants the load slots while its instance is the leader for LeaderTask.
// Every entry instance has one. After a takeover it grants nothing until all
// leases of its predecessor have expired (the takeover wait).
type Owner struct {
	self  record.InstanceRef
	views Views

	mu sync.Mutex
	// ownedSince is when the takeover wait began; zero while the instance does not
	// own the queue.
	ownedSince time.Time
	// lastView is the last view that was recent enough to work on when checkOwner
	// read it, at lastViewAt.
	lastView   *controlstate.View
	lastViewAt time.Time
	seq        uint64
	waiting    map[string]*waiter
	leases     map[string]*lease
	// teamUsage is the memory loaded for each team, in MiB, divided by the team's
	// weight. The first grant after each usageHalfLife halves all values, so that
	// earlier loads count less.
	teamUsage map[string]float64
	// usageHalvedAt is when teamUsage was last halved.
	usageHalvedAt time.Time
	// rate limits how often a load may start at the weight store.
	rate  *rate.Limiter
	timer *time.Timer

	// noTakeoverWait disables the takeover wait, for the negative control.
	noTakeoverWait bool
}

// NewOwner returns the Owner of the entry instance self.
func NewOwner(self record.InstanceRef, views Views) *Owner {
	o := &Owner{self: self, views: views, teamUsage: make(map[string]float64)}
	o.reset()
	return o
}

// Acquire waits up to longPollTimeout for a slot. If the response is not granted,
// the agent asks again. The error is of kind not_home if this instance does not
// own the queue, and view_stale if its view is too old.
func (o *Owner) Acquire(ctx context.Context, q SlotRequest) (SlotResponse, error) {
	w, err := o.enqueue(q)
	if err != nil {
		return SlotResponse{}, err
	}
	timeout := time.NewTimer(longPollTimeout)
	defer timeout.Stop()
	select {
	case <-w.ready:
	case <-timeout.C:
	case <-ctx.Done():
		return SlotResponse{}, ctx.Err()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_, granted := o.leases[q.ID]
	return SlotResponse{Offset: o.views.View().Offset, ID: q.ID, Granted: granted, TTL: leaseTTL(q.Class)}, nil
}

func (o *Owner) enqueue(q SlotRequest) (*waiter, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkOwner(); err != nil {
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
	w.lastAsked = now
	o.dispatch()
	return w, nil
}

// Renew extends the leases of an agent's slots and adds those that an earlier
// owner granted.
func (o *Owner) Renew(r RenewRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkOwner(); err != nil {
		return err
	}
	for _, s := range r.Slots {
		delete(o.waiting, s.ID)
		o.leases[s.ID] = &lease{HeldSlot: s, expires: time.Now().Add(leaseTTL(s.Class))}
	}
	return nil
}

// Release frees a slot, or removes the request from the queue if it has no slot
// yet.
func (o *Owner) Release(d ReleaseRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.leases, d.ID)
	delete(o.waiting, d.ID)
	if o.checkOwner() == nil {
		o.dispatch()
	}
	return nil
}

func (o *Owner) reset() {
	o.waiting = make(map[string]*waiter)
	o.leases = make(map[string]*lease)
	o.rate = nil
}

// dispatch grants all slots that may be granted now and sets a timer for the time
// at which more may become free.
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
	o.timer = time.AfterFunc(time.Until(next), o.onTimer)
}

func (o *Owner) onTimer() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checkOwner() == nil {
		o.dispatch()
	}
}

// dispatchClass grants slots of one class. It returns the time at which the
// takeover wait ends or the store's rate limit allows the next load, or the zero
// time if it waits for neither. A preload is granted only if it leaves another slot free.
func (o *Owner) dispatchClass(c Class, limits config.Limits, now time.Time) time.Time {
	waitEnds := o.ownedSince.Add(viewBound + leaseTTL(c))
	if now.Before(waitEnds) && !o.noTakeoverWait {
		return waitEnds
	}
	for {
		free := limit(c, limits) - o.inUse(c)
		w := o.best(c)
		if w == nil || free <= 0 || w.Preload && free < 2 {
			return time.Time{}
		}
		if at := o.takeRateToken(c, limits, now); at.After(now) {
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

// takeRateToken takes a token from the store's rate limiter and returns now, or
// returns the later time at which a token will be available.
func (o *Owner) takeRateToken(c Class, l config.Limits, now time.Time) time.Time {
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
	o.leases[w.ID] = &lease{HeldSlot: HeldSlot{ID: w.ID, Class: w.Class, Checkpoint: w.Checkpoint}, expires: now.Add(leaseTTL(w.Class))}
	if now.Sub(o.usageHalvedAt) > usageHalfLife {
		for team := range o.teamUsage {
			o.teamUsage[team] /= 2
		}
		o.usageHalvedAt = now
	}
	o.teamUsage[w.Team] += float64(w.MemoryMiB) / o.weight(w.Team)
	close(w.ready)
}

func (o *Owner) weight(team string) float64 {
	t, ok := o.views.View().Teams.Get(team)
	if !ok || t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// best returns the waiting load of class c that gets the next slot, or nil if none
// waits.
func (o *Owner) best(c Class) *waiter {
	var best *waiter
	var bestCandidate Candidate
	for _, w := range o.waiting {
		if w.Class != c {
			continue
		}
		r := o.candidate(w)
		if best == nil || r.Before(bestCandidate) {
			best, bestCandidate = w, r
		}
	}
	return best
}

func (o *Owner) candidate(w *waiter) Candidate {
	return Candidate{
		Preload:   w.Preload,
		Deadline:  w.deadline,
		Value:     w.Value,
		TeamUsage: o.teamUsage[w.Team],
		Arrival:   w.seq,
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

// expire drops expired leases, and waiters whose deadline has passed or whose
// agent no longer asks. It returns the time at which the next lease expires, or the
// zero time if there is none.
func (o *Owner) expire(now time.Time) (next time.Time) {
	for id, l := range o.leases {
		if !now.Before(l.expires) {
			delete(o.leases, id)
			continue
		}
		next = earlier(next, l.expires)
	}
	for id, w := range o.waiting {
		if now.After(w.deadline) || now.Sub(w.lastAsked) > waiterTTL {
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
