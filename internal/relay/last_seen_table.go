package relay

import (
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// lastSeenTable records when each member last sent a message to this instance.
type lastSeenTable struct {
	tracker *freshness.Tracker
	view    func() *controlstate.View
	mu      sync.Mutex
	entries map[string]lastSeenEntry
}

type lastSeenEntry struct {
	incarnation string
	at          freshness.MonoTime
}

func newLastSeenTable(t *freshness.Tracker, view func() *controlstate.View) *lastSeenTable {
	return &lastSeenTable{tracker: t, view: view, entries: make(map[string]lastSeenEntry)}
}

// record stores the time of a message. It ignores senders that are not members,
// so the size of the table is limited by the membership.
func (l *lastSeenTable) record(instance, incarnation string) {
	members := l.view().Members
	if m, ok := members.Get(instance); !ok || m.Incarnation != incarnation {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[instance] = lastSeenEntry{incarnation: incarnation, at: l.tracker.Now()}
	if len(l.entries) <= 2*members.Len() {
		return
	}
	for other := range l.entries {
		if _, ok := members.Get(other); !ok {
			delete(l.entries, other)
		}
	}
}

func (l *lastSeenTable) sinceLast(m controlstate.Member) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.entries[m.Instance]
	if !ok || entry.incarnation != m.Incarnation {
		return freshness.UnknownAge
	}
	return entry.at.AgeAt(l.tracker.Now())
}
