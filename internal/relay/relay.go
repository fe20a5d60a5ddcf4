package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// Relay keeps a view up to date from the log or from its relay parents, and
// serves the records to its children.
type Relay struct {
	cfg            Config
	health         *freshness.LogHealth
	outageDetector *freshness.OutageDetector
	changed        *notifier
	topo           *topology
	lastSeen       *lastSeenTable

	// mu guards the buffer and serializes changes of the view, so that both
	// change together.
	mu     sync.Mutex
	buffer buffer

	// knownOffset is the highest offset that this instance has learned of from
	// the log, a peer or its own appends. The view may not include it yet.
	knownOffset atomic.Uint64
	// readDirectly is set while an instance that is not a reader has no usable
	// peer and reads the log itself.
	readDirectly      atomic.Bool
	directReadLimiter *rate.Limiter

	// Used only by the read loop: snapshotTried is set once tryInitialSnapshot
	// has run, and behindLog while the log has more records than the last read
	// returned.
	snapshotTried bool
	behindLog     bool

	randMu         sync.Mutex
	snapshotGroup  singleflight.Group
	cachedSnapshot atomic.Pointer[SnapshotResponse]
	wg             sync.WaitGroup
}

var _ Peer = (*Relay)(nil)

// New returns a relay. Call Start to run it.
func New(cfg Config) *Relay {
	if cfg.BufferRecords == 0 {
		cfg.BufferRecords = DefaultBufferRecords
	}
	if cfg.ResponseRecords == 0 {
		cfg.ResponseRecords = DefaultResponseRecords
	}
	r := &Relay{
		cfg:               cfg,
		health:            freshness.NewLogHealth(cfg.Tracker),
		outageDetector:    freshness.NewOutageDetector(),
		changed:           newNotifier(),
		buffer:            buffer{maxRecords: cfg.BufferRecords},
		topo:              newTopology(cfg.Sink.View),
		directReadLimiter: rate.NewLimiter(rate.Every(DirectReadInterval), 1),
	}
	r.lastSeen = newLastSeenTable(cfg.Tracker, cfg.Sink.View)
	if cfg.Disabled.EveryDataCentre {
		r.outageDetector.TrustAnyPeer()
	}
	return r
}

// Start runs the loops in the background until ctx is done.
func (r *Relay) Start(ctx context.Context) {
	for _, loop := range []func(context.Context){r.readLoop, r.pullLoop, r.outageLoop} {
		r.wg.Go(func() { loop(ctx) })
	}
}

// Wait blocks until the loops have ended.
func (r *Relay) Wait() { r.wg.Wait() }

// Changed returns a channel that closes at the next change of the view or of
// its age.
func (r *Relay) Changed() <-chan struct{} { return r.changed.channel() }

// Tree returns the relay tree of a data centre in the current view.
func (r *Relay) Tree(dataCentre string) *Tree { return r.topo.tree(dataCentre) }

// TimeSinceLastMessage returns the time since the member last sent a message to
// this instance, or freshness.UnknownAge if it never did.
func (r *Relay) TimeSinceLastMessage(m controlstate.Member) time.Duration {
	return r.lastSeen.sinceLast(m)
}

// ObserveAppend processes a record whose append the log has just confirmed. It
// raises the known offset, so that no outage is confirmed for a view that lacks
// the record. Without this, if the log failed right after the append, instances
// could keep working without the record.
func (r *Relay) ObserveAppend(rec backing.Record) {
	r.observeOffset(rec.Offset)
	r.ingest([]backing.Record{rec})
}

// KnownOffset returns the highest offset that this instance has learned of; the
// view may not include it yet.
func (r *Relay) KnownOffset() backing.Offset { return backing.Offset(r.knownOffset.Load()) }

func (r *Relay) offset() backing.Offset { return r.cfg.Sink.View().Offset }

func (r *Relay) sender() Sender {
	return Sender{
		Instance:    r.cfg.Self.Instance,
		Incarnation: r.cfg.Self.Incarnation(),
		Offset:      r.KnownOffset(),
	}
}

func (r *Relay) observeOffset(offset backing.Offset) {
	for {
		old := r.knownOffset.Load()
		if uint64(offset) <= old || r.knownOffset.CompareAndSwap(old, uint64(offset)) {
			return
		}
	}
}

// ingest folds the records that directly follow the view and ignores all
// others. Responses may therefore arrive in any order and the offset never
// decreases (F18).
func (r *Relay) ingest(records []backing.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.offset() + 1
	var fresh []backing.Record
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
	r.observeOffset(next - 1)
	r.changed.broadcast()
}

// restore replaces the view by v if v is newer, and reports whether it did.
func (r *Relay) restore(v *controlstate.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v == nil || v.Offset <= r.offset() {
		return false
	}
	r.cfg.Sink.Restore(v)
	r.buffer.clear()
	r.observeOffset(v.Offset)
	r.changed.broadcast()
	return true
}

// reached reports whether the view includes every record up to offset. Only
// then does an age that arrived together with offset apply to this view.
func (r *Relay) reached(offset backing.Offset) bool {
	return r.cfg.Disabled.AgeRequiresOffset || r.offset() >= offset
}

// jitter returns a random duration between 0.5 and 1.5 times d, so that
// instances that lose the same parent do not retry at the same time.
func (r *Relay) jitter(d time.Duration) time.Duration {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	return d/2 + time.Duration(r.cfg.Rand.Int64N(int64(d)))
}

// pause waits until d has passed, ctx is done or ch is closed. ch may be nil.
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
