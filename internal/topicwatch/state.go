package topicwatch

import (
	"cmp"
	"slices"
	"time"
)

// state holds the known records of one topic.
type state struct {
	items map[string]Item
	// next is the offset at which the next read starts; -1 before the first list.
	next int64
	// era is that of the last page.
	era int64
	// pendingRemovals has the keys that were removed shortly after an outage, with
	// the time at which each is removed here unless it gets a new record before.
	pendingRemovals map[string]time.Time
	// lastAnswer is the time of the last answer of any source. outageEnded is the
	// time of the first answer after the last outage.
	lastAnswer  time.Time
	outageEnded time.Time
	// expires tells that the platform removes keys that are not written for some time,
	// so that an outage of the store may remove them. Only reads of such a topic return
	// at once; a long poll of another one looks like an outage.
	expires bool
	// lastStoreRead is when the store last confirmed the records, to this instance or to
	// one from which it reads.
	lastStoreRead time.Time
	// tombstones are the newest removals, for instances that read from this one.
	// Removals at offsets before tombstonesFrom are not known.
	tombstones     []Item
	tombstonesFrom int64
	// changed is closed at the next change.
	changed chan struct{}
}

func newState(t Name) *state {
	return &state{expires: t == Upstreams, items: make(map[string]Item), next: -1, pendingRemovals: make(map[string]time.Time), changed: make(chan struct{})}
}

// Handling of keys that are removed shortly after an outage of the store.
const (
	// outageThreshold is the time without an answer that counts as an outage. It is
	// longer than the interval between two reads of the upstreams topic while the
	// store is healthy.
	outageThreshold = 1500 * time.Millisecond
	// recoveryWindow is how long after an outage the removal of a key may be
	// spurious. Keys that expired in the outage are back within about 2 s, as the
	// platform promises.
	recoveryWindow = 3 * time.Second
	// removalDelay is how long the record of such a key stays in use. With the
	// interval between reads added, it is below the 2 s after which a draining
	// upstream must not get requests.
	removalDelay = 1200 * time.Millisecond
)

// noteAnswer records that a source answered at now.
func (s *state) noteAnswer(now time.Time) {
	if s.expires && !s.lastAnswer.IsZero() && now.Sub(s.lastAnswer) > outageThreshold {
		s.outageEnded = now
	}
	s.lastAnswer = now
}

// replaceAll applies a complete list of the topic and reports whether the known
// records changed.
func (s *state) replaceAll(p Page, now time.Time) bool {
	changed := false
	seen := make(map[string]bool, len(p.Items))
	for _, it := range p.Items {
		seen[it.Key] = true
		if s.put(it) {
			changed = true
		}
	}
	for key := range s.items {
		if !seen[key] && s.remove(key, now) {
			changed = true
		}
	}
	s.next = max(s.next, p.Next)
	// A key that is missing from the list was removed at an unknown offset, so there
	// is no tombstone for it.
	s.tombstones, s.tombstonesFrom = nil, s.next
	return changed
}

// applyRecords applies records that follow the known ones and reports whether the
// known records changed.
func (s *state) applyRecords(p Page, now time.Time) bool {
	changed := false
	for _, it := range p.Items {
		switch {
		case it.Key == "":
		case len(it.Value) == 0:
			s.addTombstone(it)
			changed = s.remove(it.Key, now) || changed
		default:
			changed = s.put(it) || changed
		}
	}
	s.next = max(s.next, p.Next)
	return changed
}

// maxTombstones bounds the removals kept for instances that read from this one.
const maxTombstones = 256

func (s *state) addTombstone(it Item) {
	s.tombstones = append(s.tombstones, it)
	if extra := len(s.tombstones) - maxTombstones; extra > 0 {
		s.tombstonesFrom = s.tombstones[extra-1].Offset + 1
		s.tombstones = append([]Item(nil), s.tombstones[extra:]...)
	}
}

// recordsFrom returns the records from offset from on, or false if some of them
// may be unknown.
func (s *state) recordsFrom(from int64) (Page, bool) {
	if from < s.tombstonesFrom || from < 0 {
		return Page{}, false
	}
	page := Page{Next: max(s.next, from)}
	for _, it := range s.tombstones {
		if it.Offset >= from {
			page.Items = append(page.Items, it)
		}
	}
	for _, it := range s.items {
		if it.Offset >= from {
			page.Items = append(page.Items, it)
		}
	}
	slices.SortFunc(page.Items, func(a, b Item) int { return cmp.Compare(a.Offset, b.Offset) })
	return page, true
}

func (s *state) put(it Item) bool {
	if len(it.Value) == 0 {
		return false
	}
	delete(s.pendingRemovals, it.Key)
	if old, ok := s.items[it.Key]; ok && old.Offset >= it.Offset {
		return false
	}
	s.items[it.Key] = it
	return true
}

// remove removes a key and reports whether it did so. Shortly after an outage it
// only schedules the removal, since the removal may be spurious.
func (s *state) remove(key string, now time.Time) bool {
	if _, ok := s.items[key]; !ok {
		return false
	}
	if !s.outageEnded.IsZero() && now.Sub(s.outageEnded) < recoveryWindow {
		if _, ok := s.pendingRemovals[key]; !ok {
			s.pendingRemovals[key] = now.Add(removalDelay)
		}
		return false
	}
	delete(s.items, key)
	return true
}

// removeDue removes the keys whose pending removal is due and reports whether
// there were any.
func (s *state) removeDue(now time.Time) bool {
	changed := false
	for key, at := range s.pendingRemovals {
		if !now.Before(at) {
			delete(s.pendingRemovals, key)
			delete(s.items, key)
			changed = true
		}
	}
	return changed
}
