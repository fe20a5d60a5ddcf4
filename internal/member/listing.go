package member

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// presence is what the platform list says of an instance.
type presence int

const (
	// listUnknown: the list could not be read, so it is no evidence.
	listUnknown presence = iota
	listedLive
	listedLeaving
	unlisted
)

// listing keeps the last answer of the platform list.
type listing struct {
	list   platform.InstanceList
	mu     sync.Mutex
	read   time.Time
	states map[string]platform.InstanceState
}

// refresh reads the list if the last answer is old. A failed read forgets the
// last answer: an old list must not count as evidence.
func (l *listing) refresh(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.list == nil || (!l.read.IsZero() && time.Since(l.read) < listEvery) {
		return
	}
	l.read = time.Now()
	l.states = nil
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, err := l.list.List(ctx)
	if err != nil {
		return
	}
	l.states = make(map[string]platform.InstanceState, len(entries))
	for _, e := range entries {
		l.states[e.Instance] = e.State
	}
}

func (l *listing) of(instance string) presence {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		return listUnknown
	}
	switch state, ok := l.states[instance]; {
	case !ok:
		return unlisted
	case state == platform.InstanceLeaving:
		return listedLeaving
	default:
		return listedLive
	}
}
