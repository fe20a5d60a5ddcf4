package managed

import (
	"context"
	"sync"
)

// storeEra is the newest known era of the store, for those who have to write their records
// again when the store has come back from a copy. It is safe for concurrent use.
type storeEra struct {
	mu     sync.Mutex
	newest int64
	// changed is closed when newest rises.
	changed chan struct{}
}

func newStoreEra() *storeEra { return &storeEra{changed: make(chan struct{})} }

// set records that the store has been seen in an era.
func (e *storeEra) set(era int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era > e.newest {
		e.newest = era
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// known returns the newest era in which the store has been seen; 0 if there is none.
func (e *storeEra) known() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// waitAfter waits until the store is in a later era than era, or ctx ends.
func (e *storeEra) waitAfter(ctx context.Context, era int64) {
	for {
		e.mu.Lock()
		newest, changed := e.newest, e.changed
		e.mu.Unlock()
		if newest > era {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
