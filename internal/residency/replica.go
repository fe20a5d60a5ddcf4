package residency

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// closedFlag in replica.uses marks the replica as closed: it refuses new uses, and
// the uses in progress are still counted.
const closedFlag = 1 << 62

// replica is the state of one checkpoint at the engine.
type replica struct {
	checkpoint string
	// base is the base model's checkpoint, empty for a base model.
	base string
	// uses counts the requests in flight. While closedFlag is set, it cannot grow.
	uses atomic.Int64
	// idleSince is when uses last fell to 0, in nanoseconds since the Unix epoch.
	idleSince atomic.Int64
	// opLock is held by the goroutine that sends orders for the checkpoint.
	opLock chan struct{}

	// The fields below are guarded by Manager.mu.

	state state
	// reserved is the memory reserved for the checkpoint, in MiB.
	reserved int64
	version  string
	value    int
	// changedSeq is the manager's sequence number of the last transition.
	changedSeq uint64
	// ordersSettledAt is the time from which no order sent earlier can reach the
	// engine.
	ordersSettledAt time.Time
	// lastReloadIdleSince is the value of idleSince for which the last planned reload
	// was started.
	lastReloadIdleSince int64
	pending             *pendingLoad
	gaps                GapHistogram
	release             func()
}

// pendingLoad is a load in progress, shared by all requests for the checkpoint.
type pendingLoad struct {
	done    chan struct{}
	request Load
	// noEvict restricts the load to free memory.
	noEvict bool
	// waiting and ended are guarded by Manager.mu.
	waiting int
	ended   bool
	err     error
	// stopped ends the load before it runs. cancel is set once the load runs and
	// ends it unless its order has been sent.
	stopped bool
	cancel  context.CancelFunc
}

// preemptible reports whether the load is a preload that nobody waits for.
// Requests stop such a load, because it may wait for its slot for minutes.
func (p *pendingLoad) preemptible() bool { return p != nil && p.request.Preload && p.waiting == 0 }

// stop ends the load unless its order has been sent; the caller holds Manager.mu.
func (p *pendingLoad) stop() {
	p.stopped = true
	if p.cancel != nil {
		p.cancel()
	}
}

// checkpointSpec is the configuration of a checkpoint.
type checkpointSpec struct {
	base      string
	version   string
	memoryMiB int64
	value     int
	pool      config.Pool
	// minReplicas is the number of homes that keep the checkpoint loaded.
	minReplicas int
}

func newReplica(m *Manager, checkpoint string) *replica {
	r := &replica{checkpoint: checkpoint, base: baseOf(checkpoint), state: absent, opLock: make(chan struct{}, 1)}
	r.uses.Store(closedFlag)
	r.release = func() { m.endUse(r) }
	return r
}

// tryUse counts a use unless the replica is closed. It returns the number of
// uses before.
func (r *replica) tryUse() (int64, bool) {
	for {
		n := r.uses.Load()
		if n&closedFlag != 0 {
			return 0, false
		}
		if r.uses.CompareAndSwap(n, n+1) {
			return n, true
		}
	}
}

// closeIfIdle closes the replica unless a request is in flight.
func (r *replica) closeIfIdle() bool {
	return r.uses.CompareAndSwap(0, closedFlag) || r.uses.Load() == closedFlag
}

func (r *replica) close() { r.uses.Or(closedFlag) }

// open makes the replica accept uses and counts n uses as begun. If n is 0, the
// idle time continues.
func (r *replica) open(n int, now time.Time) {
	if n > 0 {
		r.idleSince.Store(now.UnixNano())
	}
	r.idleSince.CompareAndSwap(0, now.UnixNano())
	r.uses.Add(int64(n))
	r.uses.And(^int64(closedFlag))
}

// idleTime returns the time since the last use ended.
func (r *replica) idleTime() time.Duration {
	return time.Since(time.Unix(0, r.idleSince.Load()))
}

func (r *replica) useCount() int64 { return r.uses.Load() &^ closedFlag }

func (r *replica) tryLockOp() bool {
	select {
	case r.opLock <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *replica) unlockOp() { <-r.opLock }
