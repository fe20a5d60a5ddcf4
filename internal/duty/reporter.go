package duty

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/rendezvous"
	"github.com/jacinthbend/jacinthbend/internal/usage"
)

const (
	// tickInterval is how often the next step is looked for while there is none.
	tickInterval = 100 * time.Millisecond
	// rankKey is the key by which entry instances are ranked as candidates.
	rankKey = "duty/usage"
)

// Reporter takes part in the choice of the holder, and makes the calls while this instance is it.
// It is safe for concurrent use.
type Reporter struct {
	Options

	// Only the loop uses these.
	ledger     *Ledger
	readAt     time.Time
	silent     int64
	uncertain  bool
	wasHolder  bool
	actFrom    time.Duration
	verifiedAt time.Duration
	logFrom    time.Duration
	logPause   time.Duration
	callFrom   time.Duration
	callFailed bool
	// seen are the newest reports in the log, also those that a copy of it no longer has, and
	// delivered those that the platform has taken.
	seen      map[int64]Report
	delivered map[int64]bool
	// notified is the window of which candidates have been told last.
	notified int64
	// newOrders have to be recorded, and unsentOrders, by their keys, to be sent.
	newOrders    []Order
	unsentOrders map[string]Order

	firstWindow int64

	mu               sync.Mutex
	members          []string
	ranked           []string
	storeEra         int64
	eraWindow        int64
	hint             Hint
	collecting       int64
	cancelCollecting context.CancelFunc
	collected        *usage.Result
}

// NewReporter returns a reporter; Run makes it work.
func NewReporter(o Options) *Reporter {
	return &Reporter{
		Options: o, ledger: newLedger(o.Fence), seen: make(map[int64]Report), delivered: make(map[int64]bool), unsentOrders: make(map[string]Order),
		firstWindow: o.Windows.At(o.Clock.Now()), storeEra: -1,
	}
}

// SetMembers sets the entry instances in the member list.
func (r *Reporter) SetMembers(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(names, r.members) {
		return
	}
	r.members = slices.Clone(names)
	r.ranked = rendezvous.First(rankKey, names, len(names))
}

// SetEra records that the store has been seen in an era.
func (r *Reporter) SetEra(era int64) {
	window := r.Windows.At(r.Clock.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	if era <= r.storeEra {
		return
	}
	if r.storeEra >= 0 {
		r.eraWindow = window
	}
	r.storeEra = era
}

// Told records what the holder tells this instance.
func (r *Reporter) Told(req usage.Request) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Token < r.hint.Token {
		return
	}
	r.hint.Holder, r.hint.Token = req.Holder, req.Token
	if req.Recorded > r.hint.Recorded {
		r.hint.Recorded, r.hint.RecordedAt = req.Recorded, now
	}
	r.hint.Pending = max(r.hint.Pending, req.Pending)
}

// Run takes part until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	defer r.stopCollecting()
	for ctx.Err() == nil {
		s := r.situation()
		step := Decide(&s)
		if step.Kind == Wait {
			sleep(ctx, tickInterval)
			continue
		}
		r.do(ctx, step)
	}
	r.Stats.token.Store(0)
}

// situation returns the present situation.
func (r *Reporter) situation() Situation {
	now := r.Clock.Now()
	r.expire(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Situation{
		Now: now, Boot: r.Clock.Boot(), Windows: r.Windows, Bounds: r.Bounds,
		Self: r.Self, Start: r.Start, FirstStart: r.FirstStart, Ranked: r.ranked,
		Ledger: r.ledger, ReadAt: r.readAt, StoreEra: r.storeEra, EraWindow: r.eraWindow, FirstWindow: r.firstWindow,
		Hint: r.hint, Silent: r.silent, WasHolder: r.wasHolder, ActFrom: r.actFrom, VerifiedAt: r.verifiedAt, LogFrom: r.logFrom, CallFrom: r.callFrom,
		Collecting: r.collecting, NewOrders: len(r.newOrders), UnsentOrders: len(r.unsentOrders),
	}
	if r.collected != nil {
		s.Collected = r.collected.Window
	}
	if r.Usage {
		for window := range r.seen {
			if !r.delivered[window] {
				s.Outbox = append(s.Outbox, window)
			}
		}
	}
	return s
}

// do makes a step.
func (r *Reporter) do(ctx context.Context, step Step) {
	if r.uncertain && (step.Kind == ClaimDuty || step.Kind == Record || step.Kind == RecordOrder) {
		step = Step{Kind: ReadLog}
	}
	switch step.Kind {
	case ReadLog:
		r.read(ctx)
	case Ping:
		r.ping(ctx)
	case ClaimDuty:
		r.claim(ctx, step.Window)
	case Collect:
		r.collect(ctx, step.Window)
	case Record:
		r.record(ctx, step.Window)
	case Send:
		r.send(ctx, step.Window)
	case RecordOrder:
		r.recordOrder(ctx)
	case SendOrder:
		r.sendOrder(ctx)
	case Wait:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
