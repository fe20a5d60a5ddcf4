package replica

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/relay"
	"github.com/jacinthbend/jacinthbend/internal/snapshot"
)

// Config is what a Replica needs.
type Config struct {
	Self   *relay.Self
	Log    platform.Log
	Dialer relay.Dialer
	// Seeds are peer addresses (IP:port) for joining.
	Seeds []string
	// BufferRecords bounds the records kept for children; 0 means
	// relay.BufferRecords.
	BufferRecords int
	// AnswerRecords bounds the records of one read or answer; 0 means
	// relay.AnswerRecords.
	AnswerRecords int
	// Rand spreads retries.
	Rand *rand.Rand
	// Bound is the view age above which work stops; 0 means
	// freshness.ViewBound. Only negative controls set it.
	Bound time.Duration
	// Off switches relay rules off for negative controls.
	Off relay.DisabledRules
	// OfferOff leaves out the hand-over of confirmed appends, for negative
	// controls.
	OfferOff bool
}

// Replica is an instance's copy of the control stream.
type Replica struct {
	cfg      Config
	view     atomic.Pointer[fold.View]
	tracker  *freshness.Tracker
	relay    *relay.Relay
	events   *broadcaster
	pending  *pendingAppends
	draining atomic.Bool
	cancel   context.CancelFunc
}

var _ relay.Sink = (*Replica)(nil)

// New returns a replica with an empty view that has not started.
func New(cfg Config) *Replica {
	if cfg.Bound == 0 {
		cfg.Bound = freshness.ViewBound
	}
	p := &Replica{
		cfg:     cfg,
		tracker: freshness.New(cfg.Bound),
		events:  newBroadcaster(),
		pending: newPendingAppends(),
	}
	p.view.Store(fold.Empty())
	p.relay = relay.New(relay.Config{
		Self:    cfg.Self,
		Log:     cfg.Log,
		Dialer:  cfg.Dialer,
		Sink:    p,
		Tracker: p.tracker,
		Seeds:   cfg.Seeds,

		BufferRecords:   cfg.BufferRecords,
		ResponseRecords: cfg.AnswerRecords,

		NewestSnapshot: func(ctx context.Context) (*fold.View, error) { return snapshot.Newest(ctx, cfg.Log) },
		Rand:           cfg.Rand,
		Disabled:       cfg.Off,
	})
	return p
}

// Start begins to follow the control stream until Stop or the end of ctx.
func (p *Replica) Start(ctx context.Context) {
	ctx, p.cancel = context.WithCancel(ctx)
	p.relay.Start(ctx)
}

// Stop ends the loops and waits for them.
func (p *Replica) Stop() {
	if p.cancel != nil {
		p.cancel()
	}
	p.relay.Wait()
}

// View returns the present view. It never goes back to a lower offset.
func (p *Replica) View() *fold.View { return p.view.Load() }

// Relay returns the serving side for peers.
func (p *Replica) Relay() *relay.Relay { return p.relay }

// Freshness returns the ages of the view.
func (p *Replica) Freshness() *freshness.Tracker { return p.tracker }

// Drain makes the instance refuse new work from now on.
func (p *Replica) Drain() { p.draining.Store(true) }

// MayDecide reports whether the instance may append decisions: its view is
// known to be complete by a log read, not only by a confirmed outage.
func (p *Replica) MayDecide() bool { return p.tracker.MayDecide() }

// MayWork reports whether this instance may admit or dispatch work, issue
// grants and give orders now. It takes no lock. Callers ask before they take
// the View that they act on: a view taken earlier may be older than the one
// that the answer describes.
func (p *Replica) MayWork() bool { return p.Refusal() == "" }

// Refusal returns why the instance may not work, or "". It takes no lock.
func (p *Replica) Refusal() errkind.Kind {
	if p.draining.Load() {
		return errkind.Draining
	}
	if !p.tracker.MayWork() {
		return errkind.ViewStale
	}
	v := p.view.Load()
	m, ok := v.Members.Get(p.cfg.Self.Instance)
	if !ok || m.Incarnation != p.cfg.Self.Incarnation() {
		// The fleet has ended this incarnation or has not admitted it yet.
		return errkind.ViewStale
	}
	if dc, _ := v.DataCentres.Get(m.DataCentre); !dc.In() {
		return errkind.DataCentreOut
	}
	return ""
}

// WaitFor returns when the view has reached offset.
func (p *Replica) WaitFor(ctx context.Context, offset platform.Offset) error {
	for {
		changed := p.relay.Changed()
		if p.View().Offset >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for offset %d at offset %d", offset, p.View().Offset)
		}
	}
}

// Subscribe returns the events from now on, and a function that ends the
// subscription. A subscriber that leaves size events unread loses later ones
// and is told so.
func (p *Replica) Subscribe(size int) (<-chan Event, func()) { return p.events.subscribe(size) }

// Apply implements relay.Sink.
func (p *Replica) Apply(records []platform.Record) {
	for _, rec := range records {
		next, envelope, verdict := p.view.Load().ApplyRecord(rec)
		p.view.Store(next)
		p.pending.settle(envelope.ID, outcome{verdict: verdict, offset: rec.Offset})
		p.events.publish(Event{Offset: rec.Offset, Envelope: envelope, Verdict: verdict})
	}
}

// Restore implements relay.Sink.
func (p *Replica) Restore(v *fold.View) {
	p.view.Store(v)
	p.pending.skipped(v)
	p.events.publish(Event{Offset: v.Offset, Restored: true})
}

// Changed returns a channel that closes at the next change of the view or of
// its age.
func (p *Replica) Changed() <-chan struct{} { return p.relay.Changed() }
