package topicwatch

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// state holds the known records of one topic.
type state struct {
	items map[string]Item
	// next is the offset at which the next read starts; -1 before the first list.
	next int64
	// era is the era of next. Records of earlier eras are those that the store lost when it
	// came back from a copy and that have not been written again yet.
	era int64
	// certainFrom is the offset from which on records of this era are known to have been
	// written in it; those before may be from the copy.
	certainFrom int64
	// restoredAt is when the store was last seen to have come back from a copy.
	restoredAt time.Time
	// relistAt is when to list the topic again, for the removals that were written between
	// the restore and the first list after it; zero if not needed.
	relistAt time.Time
	// removed has when keys were removed, so that a copy of the store does not bring them
	// back.
	removed map[string]time.Time
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
	return &state{expires: t == Upstreams, items: make(map[string]Item), next: -1, pendingRemovals: make(map[string]time.Time), removed: make(map[string]time.Time), changed: make(chan struct{})}
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

// position returns where the next read starts.
func (s *state) position() Position { return Position{Era: s.era, Offset: s.next} }

// order reports whether a listed record was written later than the known one.
type order func(listed, known Item) bool

// replaceAll applies a complete list of the topic in the known era and reports whether the
// known records changed.
func (s *state) replaceAll(p Page, now time.Time, supersedes order) bool {
	changed := false
	seen := make(map[string]bool, len(p.Items))
	for _, it := range p.Items {
		seen[it.Key] = true
		if (it.Offset >= s.certainFrom || s.mayTake(it, supersedes)) && s.put(it) {
			changed = true
		}
	}
	// A record of an earlier era is missing because the copy lacked it, unless its writer has
	// had the time to write it again.
	rewritten := now.Sub(s.restoredAt) >= lostRecordTime
	for key, it := range s.items {
		if !seen[key] && (it.Era == p.Era || rewritten) && s.remove(key, now) {
			changed = true
		}
	}
	if rewritten {
		s.relistAt = time.Time{}
	}
	s.era, s.next = p.Era, max(s.next, p.Next)
	// A key that is missing from the list was removed at an unknown offset, so there
	// is no tombstone for it.
	s.tombstones, s.tombstonesFrom = nil, s.next
	return changed
}

// Times after the store has come back from a copy.
const (
	// rewriteTime is how long a record of a topic whose keys expire is kept that the copy does
	// not have. Its writer writes it again within about 2 s, if it lives.
	rewriteTime = 2200 * time.Millisecond
	// lostRecordTime is after how long a list of the topic is taken to have all records that
	// the copy lacked. Processes write theirs again once they notice the restore, which a long
	// poll delays by up to 20 s.
	lostRecordTime = 30 * time.Second
	// removedTTL is how long a removed key is remembered, longer than a copy is old.
	removedTTL = 5 * time.Minute
)

// restore applies the first list after the store has come back from a copy and reports whether
// the known records changed. The copy is older than the known records, so it replaces one only
// if supersedes says that the listed one was written since. What it does not have was not
// removed: it is written again. What was written later than the list is certain again.
func (s *state) restore(p Page, now time.Time, supersedes order) bool {
	changed := false
	seen := make(map[string]bool, len(p.Items))
	for key, it := range s.items {
		if it.Era >= p.Era {
			// The store does not name its eras.
			it.Era = p.Era - 1
			s.items[key] = it
		}
	}
	for _, it := range p.Items {
		seen[it.Key] = true
		if s.mayTake(it, supersedes) && s.put(it) {
			changed = true
		}
	}
	for key := range s.items {
		if !seen[key] && s.expires {
			s.pendingRemovals[key] = now.Add(rewriteTime)
		}
	}
	s.era, s.next = p.Era, p.Next
	s.noteRestore(now)
	return changed
}

// noteRestore records that the known records may be a mix of those of the copy and those that it
// lacks.
func (s *state) noteRestore(now time.Time) {
	s.certainFrom, s.restoredAt, s.relistAt = s.next, now, now.Add(lostRecordTime)
	s.tombstones, s.tombstonesFrom = nil, s.next
}

func (s *state) relistDue(now time.Time) bool {
	return !s.relistAt.IsZero() && !now.Before(s.relistAt)
}

// mayTake reports whether a listed record that may be from the copy replaces what is known of
// its key.
func (s *state) mayTake(it Item, supersedes order) bool {
	known, ok := s.items[it.Key]
	if !ok {
		_, wasRemoved := s.removed[it.Key]
		return !wasRemoved
	}
	return known.Era >= it.Era || bytes.Equal(it.Value, known.Value) || supersedes(it, known)
}

// applyRecords applies records that follow the known ones and reports whether the
// known records changed.
func (s *state) applyRecords(p Page, now time.Time) bool {
	changed, next := false, s.next
	for _, it := range p.Items {
		switch {
		// Another read that ended first has applied the record, and may have applied later ones.
		case it.Offset < next:
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

// recordsFrom returns the records from position from on, or false if some of them
// may be unknown.
func (s *state) recordsFrom(from Position) (Page, bool) {
	if from.Era != s.era || from.Offset < s.tombstonesFrom || from.Offset < 0 {
		return Page{}, false
	}
	page := Page{Next: max(s.next, from.Offset), Era: s.era}
	for _, it := range s.tombstones {
		if it.Offset >= from.Offset {
			page.Items = append(page.Items, it)
		}
	}
	for _, it := range s.items {
		if it.Era == s.era && it.Offset >= from.Offset {
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
	if old, ok := s.items[it.Key]; ok && !old.position().before(it.position()) {
		return false
	}
	s.items[it.Key] = it
	delete(s.removed, it.Key)
	return true
}

// drop forgets the record of a key.
func (s *state) drop(key string, now time.Time) {
	delete(s.items, key)
	for k, at := range s.removed {
		if now.Sub(at) > removedTTL {
			delete(s.removed, k)
		}
	}
	s.removed[key] = now
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
	s.drop(key, now)
	return true
}

// removeDue removes the keys whose pending removal is due and reports whether
// there were any.
func (s *state) removeDue(now time.Time) bool {
	changed := false
	for key, at := range s.pendingRemovals {
		if !now.Before(at) {
			delete(s.pendingRemovals, key)
			s.drop(key, now)
			changed = true
		}
	}
	return changed
}
