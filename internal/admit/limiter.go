package admit

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

const (
	defaultMaxInFlight   = 64
	defaultStartInFlight = 4
)

// retryAfterBusy is the retry delay suggested to an entry instance whose request
// is refused; running requests complete within about this time.
const retryAfterBusy = time.Second

// Limiter limits the requests in flight at one upstream. It is lock-free.
//
// The limit starts small, grows with each completed request (slow start, H8), and
// returns to its start value when the upstream restarts. A restart during a request
// breaks the connection, which Done learns from the outcome. A restart while the
// upstream is idle may go unnoticed, so the first request after an idle time also
// resets the limit. Observe restores the earlier limit if a boot id that was queried
// after the reset shows that the process is still the same.
type Limiter struct {
	self  record.MemberJoin
	views Views
	state atomic.Uint64
	// maxReached is the largest limit reached since the last known start of the upstream.
	maxReached atomic.Int64
	bootID     atomic.Pointer[string]

	// noSlowStart disables slow start for the negative control of H8.
	noSlowStart bool
	// skipViewChecks disables the checks of the view and of draining for the
	// negative control of H9 and H13.
	skipViewChecks bool
}

// New returns a limiter for the upstream of the agent that joined as self.
func New(self record.MemberJoin, views Views) *Limiter {
	return &Limiter{self: self, views: views}
}

// Admit admits a request or refuses it before any work starts, with an error
// of kind draining, data_centre_out, view_stale or upstream_busy.
func (l *Limiter) Admit() (Ticket, error) {
	if err := l.checkView(); err != nil {
		return Ticket{}, err
	}
	pool := l.pool()
	for {
		old := packedState(l.state.Load())
		if old.draining() && !l.skipViewChecks {
			return Ticket{}, errkind.New(errkind.Draining, "agent "+l.self.Instance+" is draining")
		}
		limit, epoch := l.effectiveLimit(old, pool)
		if old.inFlight() >= limit {
			return Ticket{}, busyError(l.self.Instance, old.inFlight(), limit)
		}
		next := pack(old.draining(), epoch, limit, old.inFlight()+1)
		if l.state.CompareAndSwap(uint64(old), uint64(next)) {
			return Ticket{epoch: epoch}, nil
		}
	}
}

// effectiveLimit returns the limit and the epoch that apply to the next admission.
func (l *Limiter) effectiveLimit(s packedState, pool config.Pool) (int, uint64) {
	if l.noSlowStart {
		return pool.MaxInFlight, s.epoch()
	}
	if s.inFlight() == 0 {
		return pool.StartInFlight, s.epoch() + 1
	}
	return min(s.limit(), pool.MaxInFlight), s.epoch()
}

// Done ends an admitted request. It must be called once for each Ticket.
func (l *Limiter) Done(t Ticket, outcome Outcome) {
	pool := l.pool()
	for {
		old := packedState(l.state.Load())
		limit, epoch := old.limit(), old.epoch()
		switch {
		case outcome == Broken:
			limit, epoch = pool.StartInFlight, epoch+1
		case outcome == Completed && t.epoch == epoch:
			limit = min(limit+1, pool.MaxInFlight)
		}
		next := pack(old.draining(), epoch, limit, old.inFlight()-1)
		if l.state.CompareAndSwap(uint64(old), uint64(next)) {
			l.updateMaxReached(outcome, limit)
			return
		}
	}
}

// updateMaxReached raises maxReached to the limit after a finished request, or
// resets it if the connection to the upstream broke.
func (l *Limiter) updateMaxReached(outcome Outcome, limit int) {
	if outcome == Broken {
		l.maxReached.Store(0)
		return
	}
	for {
		old := l.maxReached.Load()
		if int64(limit) <= old || l.maxReached.CompareAndSwap(old, int64(limit)) {
			return
		}
	}
}

// Epoch returns the value to pass to a later Observe. The caller must take it
// before it asks the upstream for its boot id.
func (l *Limiter) Epoch() uint64 { return packedState(l.state.Load()).epoch() }

// Observe processes the boot id that the upstream returned to a query sent after
// epoch was taken. An unchanged id restores the largest limit reached; a changed
// one resets the limit to its start value.
func (l *Limiter) Observe(epoch uint64, bootID string) {
	known := l.bootID.Swap(&bootID)
	if known == nil || *known != bootID {
		l.Reset()
		return
	}
	maxReached := int(l.maxReached.Load())
	for {
		old := packedState(l.state.Load())
		// If the upstream has been idle or has crashed since the query, the boot id
		// does not prove that the same process is still running.
		if old.epoch() != epoch&epochMask || old.inFlight() == 0 || old.limit() >= maxReached {
			return
		}
		next := pack(old.draining(), old.epoch(), maxReached, old.inFlight())
		if l.state.CompareAndSwap(uint64(old), uint64(next)) {
			return
		}
	}
}

// Reset returns the limit to its start value after a start or crash of the upstream.
func (l *Limiter) Reset() {
	l.maxReached.Store(0)
	start := l.pool().StartInFlight
	for {
		old := packedState(l.state.Load())
		next := pack(old.draining(), old.epoch()+1, start, old.inFlight())
		if l.state.CompareAndSwap(uint64(old), uint64(next)) {
			return
		}
	}
}

// Drain permanently refuses new requests; running requests finish.
func (l *Limiter) Drain() {
	for {
		old := l.state.Load()
		if l.state.CompareAndSwap(old, old|1<<63) {
			return
		}
	}
}

// InFlight returns the requests in flight and the limit, for load reports.
func (l *Limiter) InFlight() (inFlight, limit int) {
	s := packedState(l.state.Load())
	limit, _ = l.effectiveLimit(s, l.pool())
	return s.inFlight(), limit
}

// checkView returns an error if the agent's own view forbids new work. It does
// not rely on the view of the entry instance that sent the request.
func (l *Limiter) checkView() error {
	if l.skipViewChecks {
		return nil
	}
	if !l.views.MayWork() {
		return errkind.New(errkind.ViewStale, "agent "+l.self.Instance+" has an outdated view")
	}
	v := l.views.View()
	m, ok := v.Members.Get(l.self.Instance)
	if !ok || m.Incarnation != l.self.Incarnation {
		return errkind.New(errkind.Draining, "this incarnation of agent "+l.self.Instance+" is not a member")
	}
	if dc, known := v.DataCentres.Get(l.self.DataCentre); known && !dc.In() {
		return errkind.New(errkind.DataCentreOut, "data centre "+l.self.DataCentre+" is out")
	}
	return nil
}

func (l *Limiter) pool() config.Pool {
	p, _ := l.views.View().Pools.Get(l.self.Pool)
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	if p.StartInFlight <= 0 {
		p.StartInFlight = defaultStartInFlight
	}
	p.StartInFlight = min(p.StartInFlight, p.MaxInFlight)
	return p
}

func busyError(instance string, inFlight, limit int) error {
	text := fmt.Sprintf("upstream of %s has %d requests in flight, limit %d", instance, inFlight, limit)
	return errkind.New(errkind.UpstreamBusy, text).WithRetryAfter(retryAfterBusy)
}
