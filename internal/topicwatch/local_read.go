package topicwatch

import (
	"context"
	"time"
)

// MaxStaleness is how long after the last answer of the store an instance may
// serve reads of other entry instances: slightly longer than the interval between
// two reads of the upstreams topic.
const MaxStaleness = 800 * time.Millisecond

// MaxCrashStaleness is MaxStaleness for the topic of crash reports, which is read by long
// polls.
const MaxCrashStaleness = 2500 * time.Millisecond

// ReadLocal serves a read of another instance from the follower's own records. It
// returns false unless the store confirmed them within maxAge and all records from
// position from on are known.
func (f *Follower) ReadLocal(ctx context.Context, t Name, from Position, wait, maxAge time.Duration) (Page, bool) {
	end := time.Now().Add(wait)
	for {
		f.mu.Lock()
		s, ok := f.states[t]
		if !ok || s.next < 0 || time.Since(s.lastStoreRead) >= maxAge {
			f.mu.Unlock()
			return Page{}, false
		}
		page, known := s.recordsFrom(from)
		changed, stale := s.changed, s.lastStoreRead.Add(maxAge)
		page.AgeMS = time.Since(s.lastStoreRead).Milliseconds()
		f.mu.Unlock()
		now := time.Now()
		if !known || len(page.Items) > 0 || !now.Before(end) {
			return page, known
		}
		t := time.NewTimer(min(end.Sub(now), stale.Sub(now)))
		select {
		case <-ctx.Done():
			t.Stop()
			return Page{}, false
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// MarkStoreRead records that the store confirmed the records of a topic at at.
func (f *Follower) MarkStoreRead(t Name, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.states[t]; ok && at.After(s.lastStoreRead) {
		s.lastStoreRead = at
	}
}
