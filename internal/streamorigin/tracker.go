package streamorigin

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

const (
	// minRetention is the shortest time for which streams and versions are remembered. A
	// caller may resume a stream several times within its own deadline.
	minRetention = 30 * time.Second
	// retentionFactor times the longest timeout of a streaming route is remembered too.
	retentionFactor = 2
	// maxListAge is how old the list of upstreams may be to count as current. It is read in
	// 0.6 s, through relays in up to 1.4 s.
	maxListAge = 2500 * time.Millisecond
	// restartLag is how long the list may name the version that an upstream had before it
	// started again under the same id.
	restartLag = 4 * time.Second
	// clockError bounds how far the clocks of two instances are apart, steps included.
	clockError = 30 * time.Second
)

// Tracker remembers the versions that began streams. It is safe for concurrent use.
type Tracker struct {
	o Options

	mu        sync.Mutex
	retention time.Duration
	table     *table
	services  map[string]*history
	// upstreams is the last list.
	upstreams map[string]*fleet.Upstream
	// covered tells that versions before this instance's own list, and while it had none, are
	// known from the log.
	covered bool
	// confirmedAt is when the list of upstreams was last known to be current. It has been so
	// without a gap since observedSince.
	confirmedAt, observedSince time.Time
	// severalAtMS is when a service last had several versions according to the log, in Unix
	// milliseconds.
	severalAtMS map[string]int64
	pending     *pending
	// due gets a value when something waits to be written.
	due chan struct{}

	// log and list are the reads of the log and of the list of upstreams. position is where the
	// next read of the log begins.
	log, list *sharedRead
	position  topicwatch.Position
}

// New returns a tracker that knows nothing yet.
func New(o Options) *Tracker {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Entries == nil {
		o.Entries = func() int { return 1 }
	}
	return &Tracker{
		o: o, retention: minRetention, table: newTable(), services: make(map[string]*history), severalAtMS: make(map[string]int64),
		covered: o.Log == nil, pending: newPending(), due: make(chan struct{}, 1), log: newSharedRead(), list: newSharedRead(),
	}
}

// Observe applies a new view of the fleet.
func (t *Tracker) Observe(v *fleet.View) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retention = retentionFor(v.Config)
	listed := make(map[string]map[string]bool)
	for id, u := range v.Upstreams {
		if listed[u.Service] == nil {
			listed[u.Service] = make(map[string]bool)
		}
		listed[u.Service][u.Version] = true
		if old := t.upstreams[id]; old != nil && old.StartedAtMS != u.StartedAtMS && old.Version != u.Version {
			t.markAmbiguous(id, now.Add(-restartLag))
		}
	}
	t.upstreams = v.Upstreams
	for name := range listed {
		if t.services[name] == nil {
			t.services[name] = newHistory()
		}
	}
	for name, h := range t.services {
		_, before := h.several(now, t.retention)
		h.update(listed[name], now, t.retention)
		if _, after := h.several(now, t.retention); after && !before {
			// The streams that began at the only version were not written.
			t.writeKnown(name, now)
		}
	}
}

// retentionFor returns how long streams and versions are remembered.
func retentionFor(c *fleet.Config) time.Duration {
	longest := time.Duration(0)
	for _, r := range c.Routes {
		if r.Kind == fleet.Streaming && r.Resumable {
			longest = max(longest, r.Timeout)
		}
	}
	return max(minRetention, retentionFactor*longest)
}

// writeKnown writes what is known of a service's streams with the next record.
func (t *Tracker) writeKnown(service string, now time.Time) {
	t.table.each(func(k key, e *entry) {
		if e.origin.Service == service && e.upstream != "" && now.Sub(e.at) < t.retention {
			t.enqueue(k, e)
		}
	})
}

// markAmbiguous marks the streams as ambiguous that an upstream began since a time.
func (t *Tracker) markAmbiguous(upstream string, since time.Time) {
	t.table.each(func(k key, e *entry) {
		if e.upstream == upstream && e.at.After(since) && !e.ambiguous {
			e.ambiguous = true
			t.enqueue(k, e)
		}
	})
}

func (t *Tracker) enqueue(k key, e *entry) {
	if t.o.Log == nil {
		return
	}
	t.pending.add(k, e)
	select {
	case t.due <- struct{}{}:
	default:
	}
}

// Began records that this instance sends the first event of the stream of request id, from an
// upstream.
func (t *Tracker) Began(id string, u *fleet.Upstream) {
	if id == "" {
		return
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k := keyOf(id)
	t.table.put(k, entry{origin: Origin{Service: u.Service, Version: u.Version}, upstream: u.ID, at: now}, now, t.retention)
	if h := t.services[u.Service]; h != nil {
		if _, several := h.several(now, t.retention); several {
			t.enqueue(k, t.table.get(k))
		}
	}
}

// Ambiguous reports whether the version that began the stream of request id may be another one than is recorded.
func (t *Tracker) Ambiguous(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.table.get(keyOf(id))
	return e != nil && e.ambiguous
}

// ListConfirmed records that the list of upstreams was current at a time.
func (t *Tracker) ListConfirmed(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedAt.IsZero() || age(t.confirmedAt, at) > maxListAge {
		// A version may have come and gone meanwhile.
		t.covered, t.observedSince = t.o.Log == nil, at
	}
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// age returns how much later now is than at, by the steady clock or by the time of day, of which
// only the latter counts while the machine is suspended.
func age(at, now time.Time) time.Duration { return max(now.Sub(at), now.Round(0).Sub(at.Round(0))) }
