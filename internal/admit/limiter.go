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

// retryAfterBusy is the wait suggested to an entry instance that is refused;
// requests complete within about this time.
const retryAfterBusy = time.Second

// Limiter admits requests to one upstream. It takes no lock.
//
// A running request proves that the upstream has not restarted since the
// request started, because a restart breaks it. Without one there is no such
// proof, so the limit starts small again whenever the upstream gets work after
// being idle, until a boot id read after that moment proves that it is the
// process that earned the earlier limit.
type Limiter struct {
	self  record.MemberJoin
	views Views
	state atomic.Uint64
	// earned is the largest limit reached since the last known start.
	earned atomic.Int64
	bootID atomic.Pointer[string]

	// unguarded switches slow start off for the negative control of H8.
	unguarded bool
	// blind switches the checks of the view off for the negative control of H9 and H13.
	blind bool
}

// New returns a limiter for the upstream of the agent that joined as self.
func New(self record.MemberJoin, views Views) *Limiter {
	return &Limiter{self: self, views: views}
}

// Admit admits a request or refuses it before any work starts, with an error
// of kind draining, data_centre_out, view_stale or upstream_busy.
func (l *Limiter) Admit() (Ticket, error) {
	if err := l.mayWork(); err != nil {
		return Ticket{}, err
	}
	pool := l.pool()
	for {
		old := word(l.state.Load())
		if old.draining() && !l.blind {
			return Ticket{}, errkind.New(errkind.Draining, "agent "+l.self.Instance+" is leaving")
		}
		limit, epoch := l.effective(old, pool)
		if old.inFlight() >= limit {
			return Ticket{}, busy(l.self.Instance, old.inFlight(), limit)
		}
		next := pack(old.draining(), epoch, limit, old.inFlight()+1)
		if l.state.CompareAndSwap(uint64(old), uint64(next)) {
			return Ticket{epoch: epoch}, nil
		}
	}
}

// effective returns the limit and the epoch that hold for the next admission.
func (l *Limiter) effective(w word, pool config.Pool) (int, uint64) {
	if l.unguarded {
		return pool.MaxInFlight, w.epoch()
	}
	if w.inFlight() == 0 {
		return pool.StartInFlight, w.epoch() + 1
	}
	return min(w.limit(), pool.MaxInFlight), w.epoch()
}

// Done ends an admitted request. It must be called once for each Ticket.
func (l *Limiter) Done(t Ticket, outcome Outcome) {
	pool := l.pool()
	for {
		old := word(l.state.Load())
		limit, epoch := old.limit(), old.epoch()
		switch {
		case outcome == Broken:
			limit, epoch = pool.StartInFlight, epoch+1
		case outcome == Completed && t.epoch == epoch:
			limit = min(limit+1, pool.MaxInFlight)
		}
		next := pack(old.draining(), epoch, limit, old.inFlight()-1)
		if l.state.CompareAndSwap(uint64(old), uint64(next)) {
			l.learn(outcome, limit)
			return
		}
	}
}

func (l *Limiter) learn(outcome Outcome, limit int) {
	if outcome == Broken {
		l.earned.Store(0)
		return
	}
	for {
		old := l.earned.Load()
		if int64(limit) <= old || l.earned.CompareAndSwap(old, int64(limit)) {
			return
		}
	}
}

// Epoch returns the mark that a later Observe needs. It must be taken before
// the boot id is asked for.
func (l *Limiter) Epoch() uint64 { return word(l.state.Load()).epoch() }

// Observe reports the boot id that the upstream gave to a question sent after
// epoch was taken. An unchanged id restores the earned limit; a changed one
// starts the limit anew.
func (l *Limiter) Observe(epoch uint64, bootID string) {
	known := l.bootID.Swap(&bootID)
	if known == nil || *known != bootID {
		l.Restarted()
		return
	}
	earned := int(l.earned.Load())
	for {
		old := word(l.state.Load())
		// An idle moment or a crash since the question voids the proof.
		if old.epoch() != epoch&epochMask || old.inFlight() == 0 || old.limit() >= earned {
			return
		}
		next := pack(old.draining(), old.epoch(), earned, old.inFlight())
		if l.state.CompareAndSwap(uint64(old), uint64(next)) {
			return
		}
	}
}

// Restarted starts the limit anew after a start or crash of the upstream.
func (l *Limiter) Restarted() {
	l.earned.Store(0)
	start := l.pool().StartInFlight
	for {
		old := word(l.state.Load())
		next := pack(old.draining(), old.epoch()+1, start, old.inFlight())
		if l.state.CompareAndSwap(uint64(old), uint64(next)) {
			return
		}
	}
}

// Drain refuses all further work; running requests finish. It does not end.
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
	w := word(l.state.Load())
	limit, _ = l.effective(w, l.pool())
	return w.inFlight(), limit
}

// mayWork checks what the view decides, whatever the entry instance believes.
func (l *Limiter) mayWork() error {
	if l.blind {
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

func busy(instance string, inFlight, limit int) error {
	text := fmt.Sprintf("upstream of %s has %d requests in flight, limit %d", instance, inFlight, limit)
	return errkind.New(errkind.UpstreamBusy, text).WithRetryAfter(retryAfterBusy)
}
