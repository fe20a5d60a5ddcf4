package residency

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// closedFlag in replica.uses refuses new uses; running ones are still counted.
const closedFlag = 1 << 62

// replica is the account of one checkpoint.
type replica struct {
	checkpoint string
	// base is the base model's checkpoint, empty for a base model.
	base string
	// uses counts the requests in flight; with closedFlag it takes no more.
	uses atomic.Int64
	// idleSince is when uses last fell to 0, in nanoseconds of the Unix epoch.
	idleSince atomic.Int64
	// op is held by the one goroutine that gives orders for the checkpoint.
	op chan struct{}

	// The fields below are guarded by Account.mu.

	state state
	// reserved is the memory set aside, in MiB.
	reserved int64
	version  string
	value    int
	// changed is the account's sequence number of the last transition.
	changed uint64
	// quietAt is when no order written earlier can still reach the engine.
	quietAt time.Time
	// reloaded is the idleSince of the last planned reload.
	reloaded int64
	wake     *wake
	warmth   GapHistogram
	release  func()
}

// wake is a load in progress that all requests for the checkpoint share.
type wake struct {
	done chan struct{}
	load Load
	// spare wakes evict nothing.
	spare bool
	// waiting and ended are guarded by Account.mu.
	waiting int
	ended   bool
	err     error
	// stopped ends the wake before its order; cancel does so once it runs.
	stopped bool
	cancel  context.CancelFunc
}

// yields reports whether the wake is a preload that nobody waits for. It gives
// way to requests, because it may wait for its slot for minutes.
func (w *wake) yields() bool { return w != nil && w.load.Preload && w.waiting == 0 }

// stop ends the wake unless its order has been written; the caller holds Account.mu.
func (w *wake) stop() {
	w.stopped = true
	if w.cancel != nil {
		w.cancel()
	}
}

// spec is what the configuration says of a checkpoint.
type spec struct {
	base    string
	version string
	memory  int64
	value   int
	pool    config.Pool
	// minReplicas is the number of homes that keep the checkpoint loaded.
	minReplicas int
}

func newReplica(a *Manager, checkpoint string) *replica {
	r := &replica{checkpoint: checkpoint, base: baseOf(checkpoint), state: absent, op: make(chan struct{}, 1)}
	r.uses.Store(closedFlag)
	r.release = func() { a.leave(r) }
	return r
}

// enter counts a use unless the replica is closed, and returns the count before.
func (r *replica) enter() (int64, bool) {
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

// closeIdle closes the replica unless a request is in flight.
func (r *replica) closeIdle() bool {
	return r.uses.CompareAndSwap(0, closedFlag) || r.uses.Load() == closedFlag
}

func (r *replica) close() { r.uses.Or(closedFlag) }

// open admits uses, with n of them already taken. The idle time of a replica
// that nobody waits for goes on.
func (r *replica) open(n int, now time.Time) {
	if n > 0 {
		r.idleSince.Store(now.UnixNano())
	}
	r.idleSince.CompareAndSwap(0, now.UnixNano())
	r.uses.Add(int64(n))
	r.uses.And(^int64(closedFlag))
}

// idle returns the time since the last use ended.
func (r *replica) idle() time.Duration {
	return time.Since(time.Unix(0, r.idleSince.Load()))
}

func (r *replica) inUse() int64 { return r.uses.Load() &^ closedFlag }

func (r *replica) tryOp() bool {
	select {
	case r.op <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *replica) endOp() { <-r.op }
