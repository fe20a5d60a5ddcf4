package topicwatch

import (
	"time"

	"go.uber.org/zap"
)

// Era returns the era in which a topic was last read.
func (f *Follower) Era(t Name) int64 {
	p, _ := f.position(t)
	return p.Era
}

// AddLost adds records of a topic of the view that another instance knows and that the store
// has lost. An instance that starts after the store has come back from a copy has never seen
// them, and would otherwise use the copy's until they are written again.
func (f *Follower) AddLost(t Name, p Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[t]
	added := s.addLost(p, time.Now(), func(lost, listed Item) bool { return f.supersedes(t, lost, listed) })
	if added == 0 {
		return
	}
	f.logger.Warn("took records that the store has lost from another instance", zap.String("topic", string(t)), zap.Int("records", added), zap.Int64("era", s.era))
	close(s.changed)
	s.changed = make(chan struct{})
	f.publishView()
}

// addLost adds the records of p that the store lost and returns their number. A record that
// replaces a listed one must have been written later. One whose key was not listed counts only
// if the other instance knows that the store has come back, and everything written since:
// otherwise the key may have been removed.
func (s *state) addLost(p Page, now time.Time, supersedes order) (added int) {
	complete := p.Era == s.era && !p.end().before(s.position())
	for _, it := range p.Items {
		known, listed := s.items[it.Key]
		_, wasRemoved := s.removed[it.Key]
		switch {
		case len(it.Value) == 0 || it.Era >= s.era:
			continue
		case listed && (known.Era < s.era || !supersedes(it, known)):
			continue
		case !listed && (!complete || wasRemoved):
			continue
		}
		s.items[it.Key] = it
		added++
	}
	if added > 0 {
		s.noteRestore(now)
	}
	return added
}
