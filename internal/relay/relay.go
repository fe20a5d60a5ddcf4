package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// Relay feeds a view from the log or from relay parents and serves the
// records to children.
type Relay struct {
	cfg     Config
	health  *freshness.LogHealth
	judge   *freshness.OutageDetector
	changed *signal
	topo    *topology
	heard   *hearing

	// mu serializes changes of the view with the buffer.
	mu     sync.Mutex
	buffer buffer

	// known is the highest offset heard of.
	known atomic.Uint64
	// direct lets an instance without a usable peer read the log itself.
	direct      atomic.Bool
	directLimit *rate.Limiter

	// started and behind belong to the read loop: the first read has been sent,
	// and the log has more records than the last answer carried.
	started bool
	behind  bool

	randMu sync.Mutex
	encode singleflight.Group
	cached atomic.Pointer[SnapshotAnswer]
	wg     sync.WaitGroup
}

var _ Peer = (*Relay)(nil)

// New returns a relay that has not started.
func New(cfg Config) *Relay {
	if cfg.BufferRecords == 0 {
		cfg.BufferRecords = BufferRecords
	}
	if cfg.AnswerRecords == 0 {
		cfg.AnswerRecords = AnswerRecords
	}
	r := &Relay{
		cfg:         cfg,
		health:      freshness.NewLogHealth(cfg.Tracker),
		judge:       freshness.NewOutageDetector(),
		changed:     newSignal(),
		buffer:      buffer{limit: cfg.BufferRecords},
		topo:        newTopology(cfg.Sink.View),
		directLimit: rate.NewLimiter(rate.Every(DirectReadEvery), 1),
	}
	r.heard = newHearing(cfg.Tracker, cfg.Sink.View)
	if cfg.Off.EveryDataCentre {
		r.judge.TrustAnyPeer()
	}
	return r
}

// Start runs the loops until ctx is done.
func (r *Relay) Start(ctx context.Context) {
	for _, loop := range []func(context.Context){r.readLoop, r.pullLoop, r.contactLoop} {
		r.wg.Go(func() { loop(ctx) })
	}
}

// Wait returns when the loops have ended.
func (r *Relay) Wait() { r.wg.Wait() }

// Changed returns a channel that closes at the next change of the view or of
// its age.
func (r *Relay) Changed() <-chan struct{} { return r.changed.wait() }

// Order returns the order of a data centre in the present view.
func (r *Relay) Order(dataCentre string) *Order { return r.topo.order(dataCentre) }

// LastHeard returns the time since the member last sent a message to this
// instance, freshness.Unknown if it never did.
func (r *Relay) LastHeard(m fold.Member) time.Duration { return r.heard.age(m) }

// Offer hands over a record whose append was just confirmed. Until the view
// has reached it, the view counts as incomplete, so that a log that fails
// right after the append cannot hide the decision behind a confirmed outage.
func (r *Relay) Offer(rec platform.Record) {
	r.learn(rec.Offset)
	r.ingest([]platform.Record{rec})
}

// Known returns the highest offset heard of.
func (r *Relay) Known() platform.Offset { return platform.Offset(r.known.Load()) }

func (r *Relay) offset() platform.Offset { return r.cfg.Sink.View().Offset }

func (r *Relay) sender() Sender {
	return Sender{
		Instance:    r.cfg.Self.Instance,
		Incarnation: r.cfg.Self.Incarnation(),
		Offset:      r.Known(),
	}
}

func (r *Relay) learn(offset platform.Offset) {
	for {
		old := r.known.Load()
		if uint64(offset) <= old || r.known.CompareAndSwap(old, uint64(offset)) {
			return
		}
	}
}

// ingest folds the records that follow the view and ignores the others, so
// that the offset never falls, whatever order the answers come in (F18).
func (r *Relay) ingest(records []platform.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.offset() + 1
	var fresh []platform.Record
	for _, rec := range records {
		if rec.Offset == next {
			fresh = append(fresh, rec)
			next++
		}
	}
	if len(fresh) == 0 {
		return
	}
	r.cfg.Sink.Apply(fresh)
	for _, rec := range fresh {
		r.buffer.add(rec)
	}
	r.learn(next - 1)
	r.changed.broadcast()
}

// restore replaces the view if v is newer.
func (r *Relay) restore(v *fold.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v == nil || v.Offset <= r.offset() {
		return false
	}
	r.cfg.Sink.Restore(v)
	r.buffer.clear()
	r.learn(v.Offset)
	r.changed.broadcast()
	return true
}

// reached reports whether the view holds everything up to offset, and thus
// whether an age that came with offset describes this view too.
func (r *Relay) reached(offset platform.Offset) bool {
	return r.cfg.Off.CompleteAnswers || r.offset() >= offset
}

// jitter returns d spread by half of it, so that instances that lose the same
// parent do not retry together.
func (r *Relay) jitter(d time.Duration) time.Duration {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	return d/2 + time.Duration(r.cfg.Rand.Int64N(int64(d)))
}

// pause waits for d, for ctx, or for ch, which may be nil.
func pause(ctx context.Context, d time.Duration, ch <-chan struct{}) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-ch:
	}
}
