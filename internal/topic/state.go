package topic

import (
	"cmp"
	"slices"
	"time"
)

// state is what is known of one topic.
type state struct {
	items map[string]Item
	// next is where reading goes on; -1 before the first list.
	next int64
	// lapsed are keys that went away around an outage, with the time at which
	// they are removed unless they are back.
	lapsed map[string]time.Time
	// contact is the last answer of a source, outage the time from which no
	// answer came before it.
	contact     time.Time
	outageEnded time.Time
	// direct is the last answer of the store itself.
	direct time.Time
	// removed are the newest removals, for others that read from here; removals
	// before removedFrom are not known.
	removed     []Item
	removedFrom int64
	// changed is closed with the next change.
	changed chan struct{}
}

func newState() *state {
	return &state{items: make(map[string]Item), next: -1, lapsed: make(map[string]time.Time), changed: make(chan struct{})}
}

// Windows of entries that went away around an outage of the store.
const (
	// outageAfter is the silence of the store that counts as an outage: longer
	// than the pause between two reads of a calm store.
	outageAfter = 1500 * time.Millisecond
	// returnWindow is how long after an outage an entry may lapse wrongly: the
	// platform promises their return within about 2 s.
	returnWindow = 3 * time.Second
	// lapseGrace keeps such an entry in use. Together with the pause between
	// reads it stays below the 2 s after which a leaving upstream gets nothing.
	lapseGrace = 1200 * time.Millisecond
)

// answered notes that a source answered at now.
func (s *state) answered(now time.Time) {
	if !s.contact.IsZero() && now.Sub(s.contact) > outageAfter {
		s.outageEnded = now
	}
	s.contact = now
}

// list replaces everything by a complete list and reports whether it changed.
func (s *state) list(p Page, now time.Time) bool {
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
	// A key that is missing from the list was removed at an unknown offset.
	s.removed, s.removedFrom = nil, s.next
	return changed
}

// read applies records that follow the known ones.
func (s *state) read(p Page, now time.Time) bool {
	changed := false
	for _, it := range p.Items {
		switch {
		case it.Key == "":
		case len(it.Value) == 0:
			s.noteRemoved(it)
			changed = s.remove(it.Key, now) || changed
		default:
			changed = s.put(it) || changed
		}
	}
	s.next = max(s.next, p.Next)
	return changed
}

// mostRemoved bounds the removals that are kept for others.
const mostRemoved = 256

func (s *state) noteRemoved(it Item) {
	s.removed = append(s.removed, it)
	if extra := len(s.removed) - mostRemoved; extra > 0 {
		s.removedFrom = s.removed[extra-1].Offset + 1
		s.removed = append([]Item(nil), s.removed[extra:]...)
	}
}

// since returns the records from an offset on, or false if not all are known.
func (s *state) since(from int64) (Page, bool) {
	if from < s.removedFrom || from < 0 {
		return Page{}, false
	}
	page := Page{Next: max(s.next, from)}
	for _, it := range s.removed {
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
	delete(s.lapsed, it.Key)
	if old, ok := s.items[it.Key]; ok && old.Offset >= it.Offset {
		return false
	}
	s.items[it.Key] = it
	return true
}

// remove takes a key away, or later if it may have lapsed with an outage.
func (s *state) remove(key string, now time.Time) bool {
	if _, ok := s.items[key]; !ok {
		return false
	}
	if !s.outageEnded.IsZero() && now.Sub(s.outageEnded) < returnWindow {
		if _, ok := s.lapsed[key]; !ok {
			s.lapsed[key] = now.Add(lapseGrace)
		}
		return false
	}
	delete(s.items, key)
	return true
}

// expire removes the keys whose grace has ended.
func (s *state) expire(now time.Time) bool {
	changed := false
	for key, at := range s.lapsed {
		if !now.Before(at) {
			delete(s.lapsed, key)
			delete(s.items, key)
			changed = true
		}
	}
	return changed
}
