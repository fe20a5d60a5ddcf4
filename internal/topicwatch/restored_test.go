package topicwatch

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// copyRecords returns a copy of the store's records.
func (s *fakeStore) copyRecords() map[Name][]Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.topics)
}

// restore replaces the records by a copy and begins the next era.
func (s *fakeStore) restore(records map[Name][]Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = maps.Clone(records)
	s.era++
}

// applyTime is after how long a confirmed change is in force.
const applyTime = 2 * time.Second

// TestRestoredStoreChangeNotInForce guards against a change that is ignored because the store,
// after it has come back from a copy, gives out offsets again, also after a second restore,
// and against reading the topics without a pause.
func TestRestoredStoreChangeNotInForce(t *testing.T) {
	runFollower(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		for round := range 3 {
			old := s.copyRecords()
			for i := range 4 {
				s.put(Operators, "config", string(rune('2'+2*round+i%2)))
			}
			time.Sleep(applyTime)
			before := s.readCount(Operators)
			s.restore(old)
			time.Sleep(applyTime)
			check.True(s.readCount(Operators)-before < 10)
			s.put(Operators, "config", string(rune('3'+2*round)))
			s.put(Operators, "out/z1", "1")
			s.put(Upstreams, "c", "x")
			time.Sleep(applyTime)
			check.Equal(f.View().Config.Version, int64(3+2*round))
			check.True(f.View().Evacuated["z1"])
			check.True(f.View().Upstreams["c"] != nil)
			s.put(Operators, "out/z1", "")
			s.put(Upstreams, "c", "")
			time.Sleep(applyTime)
			check.True(!f.View().Evacuated["z1"])
			check.Equal(f.View().Upstreams["c"], nil)
		}
	})
}

// TestRestoredStoreTakesBackChange guards against records of the copy that replace newer ones,
// which were confirmed and are gone from it: an older configuration, an upstream that leaves
// and is ready again, one that was removed, an evacuation that ends.
func TestRestoredStoreTakesBackChange(t *testing.T) {
	runFollower(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		old := s.copyRecords()
		s.put(Operators, "config", "2")
		s.put(Operators, "out/z1", "1")
		s.put(Upstreams, "a", "draining")
		s.put(Upstreams, "b", "")
		s.put(Members, "m", "1")
		time.Sleep(applyTime)
		s.restore(old)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			v := f.View()
			check.Equal(v.Config.Version, int64(2))
			check.True(v.Evacuated["z1"])
			check.True(v.Upstreams["a"].Draining)
			check.Equal(v.Upstreams["b"], nil)
			check.Equal(len(v.Members), 1)
		}
		// What is written after the restore is in force, whatever was known before.
		s.put(Upstreams, "a", "x")
		s.put(Upstreams, "b", "x")
		s.put(Operators, "out/z1", "")
		time.Sleep(applyTime)
		check.True(!f.View().Upstreams["a"].Draining)
		check.True(f.View().Upstreams["b"] != nil)
		check.True(!f.View().Evacuated["z1"])
	})
}

// TestRestoredStoreUpstreamNotWrittenAgain guards against an upstream that is used although it
// has not come back 2 s after the restore, and against one that is left out meanwhile.
func TestRestoredStoreUpstreamNotWrittenAgain(t *testing.T) {
	runFollower(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		old := s.copyRecords()
		s.put(Upstreams, "new", "x")
		s.put(Upstreams, "gone", "x")
		time.Sleep(applyTime)
		s.restore(old)
		time.Sleep(applyTime / 2)
		check.True(f.View().Upstreams["new"] != nil && f.View().Upstreams["gone"] != nil)
		s.put(Upstreams, "new", "x")
		time.Sleep(3 * time.Second)
		check.True(f.View().Upstreams["new"] != nil)
		check.Equal(f.View().Upstreams["gone"], nil)
		check.True(f.View().Upstreams["a"] != nil && f.View().Upstreams["b"] != nil)
	})
}

// TestRestoredStoreSeenByOneInstance guards against an instance that has not noticed the restore
// and whose records replace those of one that has, and against one that is cut off from the
// store and does not learn of the restore, or loses what the copy lacks.
func TestRestoredStoreSeenByOneInstance(t *testing.T) {
	t.Run("the other has not noticed", func(t *testing.T) {
		other := newFakeStore()
		for range 50 {
			other.put(Operators, "config", "1")
			other.put(Upstreams, "old", "x")
		}
		runFollower(t, other, func(check *is.I, s *fakeStore, f *Follower) {
			s.restore(s.copyRecords())
			s.put(Operators, "config", "4")
			time.Sleep(applyTime)
			s.setDown(true)
			time.Sleep(3 * time.Second)
			check.Equal(f.View().Config.Version, int64(4))
			check.Equal(f.View().Upstreams["old"], nil)
			check.Equal(len(f.View().Upstreams), 2)
		})
	})
	t.Run("only the other has noticed", func(t *testing.T) {
		other := newFakeStore()
		other.put(Operators, "config", "1")
		other.put(Upstreams, "a", "x")
		other.put(Upstreams, "b", "x")
		runFollower(t, other, func(check *is.I, s *fakeStore, f *Follower) {
			s.put(Operators, "config", "6")
			s.put(Operators, "out/z1", "1")
			s.put(Upstreams, "a", "draining")
			time.Sleep(applyTime)
			other.restore(other.copyRecords())
			s.setDown(true)
			time.Sleep(time.Second)
			check.Equal(f.View().Config.Version, int64(6))
			check.True(f.View().Evacuated["z1"])
			check.True(f.View().Upstreams["a"].Draining)
			other.put(Operators, "config", "8")
			other.put(Upstreams, "c", "x")
			time.Sleep(applyTime)
			check.Equal(f.View().Config.Version, int64(8))
			check.True(f.View().Upstreams["c"] != nil)
			check.True(f.View().Upstreams["a"].Draining)
		})
	})
}

// TestRestoredStoreReadThroughRelay guards against records of one era that a relay serves to a
// reader of another one, and against records that the copy lost and that a relay serves as if
// they had been written again.
func TestRestoredStoreReadThroughRelay(t *testing.T) {
	runRelayed(t, func(check *is.I, s *fakeStore, link *linkedReader, _ *unreachableStore, second *Follower) {
		for range 2 {
			old := s.copyRecords()
			for range 5 {
				s.put(Upstreams, "a", "x")
				s.put(Upstreams, "lost", "x")
				s.put(Operators, "config", "5")
			}
			time.Sleep(applyTime)
			s.restore(old)
			s.put(Upstreams, "a", "draining")
			time.Sleep(applyTime)
			check.Equal(second.View().Config.Version, int64(5))
			check.True(second.View().Upstreams["a"].Draining)
			check.True(link.other.View().Upstreams["a"].Draining)
			time.Sleep(applyTime)
			check.Equal(second.View().Upstreams["lost"], nil)
			check.Equal(link.other.View().Upstreams["lost"], nil)
			s.put(Upstreams, "a", "x")
			time.Sleep(applyTime)
		}
	})
}

// TestRestoredStoreRemovalExpired guards against a record that stays in force for good if the
// copy lacks it and its removal has expired before it was read, and against dropping it before
// its writer had the time to write it again.
func TestRestoredStoreRemovalExpired(t *testing.T) {
	runFollower(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		old := s.copyRecords()
		s.put(Operators, "out/z1", "1")
		time.Sleep(applyTime)
		s.restore(old)
		time.Sleep(applyTime)
		s.compact(Operators)
		time.Sleep(applyTime)
		check.True(f.View().Evacuated["z1"])
		// Written again and removed while the instance reads nothing.
		time.Sleep(lostRecordTime)
		s.setDown(true)
		s.put(Operators, "out/z1", "1")
		s.put(Operators, "out/z1", "")
		s.compact(Operators)
		s.setDown(false)
		time.Sleep(5 * time.Second)
		check.True(!f.View().Evacuated["z1"])
	})
}

// TestRestoredStoreRemovedAtOnce guards against a record that the copy lacks and that stays in
// force for good, since its removal was written before the first list after the restore.
func TestRestoredStoreRemovedAtOnce(t *testing.T) {
	runFollower(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		old := s.copyRecords()
		s.put(Operators, "out/z1", "1")
		s.put(Operators, "config", "4")
		time.Sleep(applyTime)
		s.restore(old)
		s.put(Operators, "out/z1", "")
		time.Sleep(applyTime)
		check.True(f.View().Evacuated["z1"]) // cannot be told apart from what is still to be written again
		time.Sleep(lostRecordTime)
		check.True(!f.View().Evacuated["z1"])
		check.Equal(f.View().Config.Version, int64(4))
		// The older record of a key that the copy has too does not make it list again.
		before := s.readCount(Operators)
		time.Sleep(lostRecordTime)
		check.True(s.readCount(Operators)-before >= int(lostRecordTime/f.operatorSchedule.MaxWait)-1)
	})
}

// TestRestoredStoreStartedInstance guards against an instance that starts after the restore and
// uses what the copy has instead of what was confirmed later, and against records of another
// instance that bring back what has been removed since.
func TestRestoredStoreStartedInstance(t *testing.T) {
	lostOf := func(f *Follower) Page {
		p, _ := f.Snapshot(Operators)
		return p
	}
	runFollower(t, nil, func(check *is.I, s *fakeStore, old *Follower) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		// start returns an instance that starts now.
		start := func() *Follower {
			f := NewFollower(Options{Source: s, Decoder: textDecoder{}, Logger: zap.NewNop()})
			running.Go(func() { f.Run(ctx, Operators, Upstreams, Members) })
			time.Sleep(50 * time.Millisecond)
			return f
		}
		before := s.copyRecords()
		s.put(Operators, "config", "4")
		s.put(Operators, "out/z1", "1")
		s.put(Operators, "out/z2", "1")
		time.Sleep(applyTime)
		notNoticed := lostOf(old)
		s.restore(before)
		time.Sleep(applyTime)
		// Written again and removed before the next instance starts.
		s.put(Operators, "out/z2", "1")
		s.put(Operators, "out/z2", "")
		time.Sleep(applyTime)
		for _, noticed := range []bool{false, true} {
			t.Log("the other instance has noticed the restore:", noticed)
			f, lost := start(), notNoticed
			if noticed {
				lost = lostOf(old)
			}
			check.Equal(f.View().Config.Version, int64(1))
			f.AddLost(Operators, lost)
			check.Equal(f.View().Config.Version, int64(4))
			check.Equal(f.View().Evacuated["z1"], noticed)
			check.True(!f.View().Evacuated["z2"])
			// A list shortly after does not take them back.
			s.setDown(true)
			s.put(Operators, "out/z3", "1")
			s.put(Operators, "out/z3", "")
			s.compact(Operators)
			s.setDown(false)
			time.Sleep(applyTime)
			check.Equal(f.View().Evacuated["z1"], noticed)
			page, _ := f.Snapshot(Operators)
			check.Equal(page.Era, int64(2))
		}
		last := start()
		last.AddLost(Operators, lostOf(old))
		s.put(Operators, "out/z1", "")
		s.put(Operators, "config", "5")
		time.Sleep(applyTime)
		check.True(!last.View().Evacuated["z1"])
		check.Equal(last.View().Config.Version, int64(5))
		last.AddLost(Operators, notNoticed)
		check.True(!last.View().Evacuated["z1"])
		check.Equal(last.View().Config.Version, int64(5))
		// What it tells others is not older either.
		page, _ := last.Snapshot(Operators)
		check.Equal(len(page.Items), 1)
		check.Equal(string(page.Items[0].Value), "5")
	})
}
