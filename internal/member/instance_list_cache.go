package member

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// listStatus is the status of an instance in the platform list.
type listStatus int

const (
	// listUnknown means that the list could not be read. It is no evidence.
	listUnknown listStatus = iota
	listedLive
	listedLeaving
	unlisted
)

// instanceListCache caches the last response of the platform list.
type instanceListCache struct {
	list   backing.InstanceList
	mu     sync.Mutex
	readAt time.Time
	states map[string]backing.InstanceState
}

// refresh reads the list if listInterval has passed since the last read. If the
// read fails, refresh drops the cached list, because an outdated list must not
// count as evidence.
func (l *instanceListCache) refresh(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.list == nil || (!l.readAt.IsZero() && time.Since(l.readAt) < listInterval) {
		return
	}
	l.readAt = time.Now()
	l.states = nil
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, err := l.list.List(ctx)
	if err != nil {
		return
	}
	l.states = make(map[string]backing.InstanceState, len(entries))
	for _, e := range entries {
		l.states[e.Instance] = e.State
	}
}

func (l *instanceListCache) status(instance string) listStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		return listUnknown
	}
	switch state, ok := l.states[instance]; {
	case !ok:
		return unlisted
	case state == backing.InstanceLeaving:
		return listedLeaving
	default:
		return listedLive
	}
}
