package replica

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/relay"
	"github.com/jacinthbend/jacinthbend/internal/snapshot"
)

// Config configures a Replica.
type Config struct {
	Self   *relay.Self
	Log    backing.Log
	Dialer relay.Dialer
	// Seeds are peer addresses (IP:port) to read the control stream from until
	// the join of this instance appears in the view.
	Seeds []string
	// BufferRecords is the maximum number of records kept for children in the
	// relay tree; 0 means relay.DefaultBufferRecords.
	BufferRecords int
	// ResponseRecords is the maximum number of records in one log read or in one
	// response to a child; 0 means relay.DefaultResponseRecords.
	ResponseRecords int
	// Rand adds jitter to retries.
	Rand *rand.Rand
	// MaxViewAge is the view age above which the instance stops working; 0 means
	// freshness.ViewBound. Only tests that disable this rule set it.
	MaxViewAge time.Duration
	// DisabledRelayRules disables relay rules in tests that check that each rule
	// is needed.
	DisabledRelayRules relay.DisabledRules
	// DisableObserveAppend stops passing confirmed appends on to the relay. Only
	// tests that check that this rule is needed set it.
	DisableObserveAppend bool
}

// Replica follows the control stream and keeps the view that results from it.
type Replica struct {
	cfg      Config
	view     atomic.Pointer[controlstate.View]
	tracker  *freshness.Tracker
	relay    *relay.Relay
	events   *broadcaster
	pending  *pendingAppends
	draining atomic.Bool
	cancel   context.CancelFunc
}

var _ relay.Sink = (*Replica)(nil)

// New returns a replica with an empty view. Start starts it.
func New(cfg Config) *Replica {
	if cfg.MaxViewAge == 0 {
		cfg.MaxViewAge = freshness.ViewBound
	}
	r := &Replica{
		cfg:     cfg,
		tracker: freshness.New(cfg.MaxViewAge),
		events:  newBroadcaster(),
		pending: newPendingAppends(),
	}
	r.view.Store(controlstate.Empty())
	r.relay = relay.New(relay.Config{
		Self:    cfg.Self,
		Log:     cfg.Log,
		Dialer:  cfg.Dialer,
		Sink:    r,
		Tracker: r.tracker,
		Seeds:   cfg.Seeds,

		BufferRecords:   cfg.BufferRecords,
		ResponseRecords: cfg.ResponseRecords,

		NewestSnapshot: func(ctx context.Context) (*controlstate.View, error) { return snapshot.Newest(ctx, cfg.Log) },
		Rand:           cfg.Rand,
		Disabled:       cfg.DisabledRelayRules,
	})
	return r
}

// Start follows the control stream in the background until Stop is called or
// ctx ends.
func (r *Replica) Start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.relay.Start(ctx)
}

// Stop ends the background loops and waits until they have returned.
func (r *Replica) Stop() {
	if r.cancel != nil {
		r.cancel()
	}
	r.relay.Wait()
}

// View returns the current view. Its offset never decreases.
func (r *Replica) View() *controlstate.View { return r.view.Load() }

// Relay returns the relay, which serves the control stream to peers.
func (r *Replica) Relay() *relay.Relay { return r.relay }

// Freshness returns the tracker of the view's age.
func (r *Replica) Freshness() *freshness.Tracker { return r.tracker }

// Drain makes the instance refuse new work from now on.
func (r *Replica) Drain() { r.draining.Store(true) }

// MayDecide reports whether the instance may append records. This requires a
// recent log read, by this instance or a relay ancestor, that shows the view to
// be complete; a confirmed outage of the log is not enough.
func (r *Replica) MayDecide() bool { return r.tracker.MayDecide() }

// MayWork reports whether this instance may currently admit or dispatch work,
// issue grants and send load orders. It takes no lock. Call it before View: a
// view loaded earlier may be older than the one that MayWork checked.
func (r *Replica) MayWork() bool { return r.Refusal() == "" }

// Refusal returns the error kind with which the instance refuses work, or "" if
// it may work. It takes no lock.
func (r *Replica) Refusal() errkind.Kind {
	if r.draining.Load() {
		return errkind.Draining
	}
	if !r.tracker.MayWork() {
		return errkind.ViewStale
	}
	v := r.view.Load()
	m, ok := v.Members.Get(r.cfg.Self.Instance)
	if !ok || m.Incarnation != r.cfg.Self.Incarnation() {
		// The fleet has removed this incarnation or has not admitted it yet.
		return errkind.ViewStale
	}
	if dc, _ := v.DataCentres.Get(m.DataCentre); !dc.In() {
		return errkind.DataCentreOut
	}
	return ""
}

// WaitFor waits until the view has reached offset.
func (r *Replica) WaitFor(ctx context.Context, offset backing.Offset) error {
	for {
		changed := r.relay.Changed()
		if r.View().Offset >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for offset %d: view is at offset %d", offset, r.View().Offset)
		}
	}
}

// Subscribe returns a channel of the events from now on, and a function that
// ends the subscription. The channel buffers size events. While it is full,
// events are dropped, and the Missed field of the next event counts them.
func (r *Replica) Subscribe(size int) (<-chan Event, func()) { return r.events.subscribe(size) }

// Apply implements relay.Sink.
func (r *Replica) Apply(records []backing.Record) {
	for _, rec := range records {
		next, envelope, verdict := r.view.Load().ApplyRecord(rec)
		r.view.Store(next)
		r.pending.deliver(envelope.ID, outcome{verdict: verdict, offset: rec.Offset})
		r.events.publish(Event{Offset: rec.Offset, Envelope: envelope, Verdict: verdict})
	}
}

// Restore implements relay.Sink.
func (r *Replica) Restore(v *controlstate.View) {
	r.view.Store(v)
	r.pending.deliverSkipped(v)
	r.events.publish(Event{Offset: v.Offset, Restored: true})
}

// Changed returns a channel that is closed at the next change of the view or of
// its age.
func (r *Replica) Changed() <-chan struct{} { return r.relay.Changed() }
