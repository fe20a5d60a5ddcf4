package replica

import "sync"

// broadcaster sends events to subscribers and never blocks: a slow subscriber,
// such as the audit trail, must not delay the view. It drops events for a
// subscriber whose buffer is full.
type broadcaster struct {
	mu   sync.Mutex
	subs map[*subscription]struct{}
}

type subscription struct {
	ch     chan Event
	missed int
}

func newBroadcaster() *broadcaster {
	return &broadcaster{subs: make(map[*subscription]struct{})}
}

func (b *broadcaster) subscribe(size int) (<-chan Event, func()) {
	s := &subscription{ch: make(chan Event, max(1, size))}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subs[s] = struct{}{}
	return s.ch, func() { b.unsubscribe(s) }
}

func (b *broadcaster) unsubscribe(s *subscription) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.subs[s]; ok {
		delete(b.subs, s)
		close(s.ch)
	}
}

func (b *broadcaster) publish(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.subs {
		e.Missed = s.missed
		select {
		case s.ch <- e:
			s.missed = 0
		default:
			s.missed++
		}
	}
}
