package budget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// Tracker derives the ownership of shares from the views of one instance. Observe
// should be called with the view after each single record, in order. Skipping a
// view is safe, but may restart the takeover waits.
type Tracker struct {
	mu      sync.Mutex
	current atomic.Pointer[Ownership]
}

// NewTracker returns a tracker that has not observed a view. A ttl of 0 stands
// for DefaultGrantTTL.
func NewTracker(ttl time.Duration) *Tracker {
	t := &Tracker{}
	setDefault(&ttl, DefaultGrantTTL)
	t.current.Store(newOwnership(ttl))
	return t
}

// Observe updates the ownership to v. It ignores v unless it is newer than the
// last observed view.
func (t *Tracker) Observe(v *controlstate.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	if v.Offset <= current.view.Offset {
		return
	}
	t.current.Store(current.next(v, time.Now()))
}

// At returns the ownership in v or in a later view.
func (t *Tracker) At(v *controlstate.View) *Ownership {
	current := t.current.Load()
	if current.view.Offset >= v.Offset {
		return current
	}
	t.Observe(v)
	return t.current.Load()
}
