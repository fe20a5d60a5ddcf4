package relay

import (
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// hearing remembers when each member last sent a message.
type hearing struct {
	tracker *freshness.Tracker
	view    func() *fold.View
	mu      sync.Mutex
	last    map[string]heardAt
}

type heardAt struct {
	incarnation string
	at          freshness.MonoTime
}

func newHearing(t *freshness.Tracker, view func() *fold.View) *hearing {
	return &hearing{tracker: t, view: view, last: make(map[string]heardAt)}
}

// note records a message. Senders that are no members are not kept, so the
// table is bounded by the membership.
func (h *hearing) note(instance, incarnation string) {
	members := h.view().Members
	if m, ok := members.Get(instance); !ok || m.Incarnation != incarnation {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last[instance] = heardAt{incarnation: incarnation, at: h.tracker.Now()}
	if len(h.last) <= 2*members.Len() {
		return
	}
	for other := range h.last {
		if _, ok := members.Get(other); !ok {
			delete(h.last, other)
		}
	}
}

func (h *hearing) age(m fold.Member) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, ok := h.last[m.Instance]
	if !ok || last.incarnation != m.Incarnation {
		return freshness.UnknownAge
	}
	return last.at.AgeAt(h.tracker.Now())
}
