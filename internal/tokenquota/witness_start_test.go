package tokenquota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/witness"
)

// startTest has one entry instance, which has the whole allowance of a team.
type startTest struct {
	*witnessFleet
	check *is.I
	given float64
}

// runStartTest runs f with 6 agents, of which the entry instance knows the first three.
func runStartTest(t *testing.T, f func(s *startTest)) {
	synctest.Test(t, func(t *testing.T) {
		s := &startTest{check: is.New(t)}
		s.witnessFleet = newWitnessFleet(t, 0, false, 1, 6, Bounds{Window: testBounds.Window}, teamConfig(1000, 8000))
		s.knowOnly(0, 1, 2)
		time.Sleep(4 * time.Second) // an agent that has just started may have forgotten records
		f(s)
		s.close()
	})
}

// spend takes up to a fraction of the share in small requests.
func (s *startTest) spend(fraction float64) {
	const request = 20
	for end := s.given + fraction*s.share(); s.given < end; s.given += request {
		if !s.request(0, "t", request) {
			return
		}
	}
}

func (s *startTest) share() float64 { return s.bounds.allowance(1000, 8000) }

// settle waits until a start could find a record of all that was spent.
func (s *startTest) settle() { time.Sleep(time.Second) }

// restart kills the instance and starts it again.
func (s *startTest) restart(pause time.Duration) {
	s.kill(0)
	time.Sleep(pause)
	s.start(0, false)
	time.Sleep(700 * time.Millisecond) // two attempts to reach the witnesses
}

// knows reports whether the start has learned from the witnesses what was spent.
func (s *startTest) knows() bool {
	l := s.limiter(s.names[0])
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.earlier != nil
}

// spendRest takes all that can be had, and checks that the allowance is kept to.
func (s *startTest) spendRest() {
	s.spend(1)
	s.check.True(s.given <= s.share())
}

// TestStartUnknownToWitnesses guards against a start that gives out tokens without a record at the
// witnesses, so that the next one reads the record of the start before.
func TestStartUnknownToWitnesses(t *testing.T) {
	runStartTest(t, func(s *startTest) {
		s.spend(0.3)
		s.settle()
		s.loseOnly(0, 1, 2)
		s.restart(20 * time.Millisecond)
		s.spend(0.4)
		s.loseOnly()
		s.restart(20 * time.Millisecond)
		s.spendRest()
	})
}

// TestQuickStarts guards against a start that does not know what the one before it has read from the
// witnesses and spent.
func TestQuickStarts(t *testing.T) {
	runStartTest(t, func(s *startTest) {
		for range 3 {
			s.spend(0.2)
			s.settle()
			s.restart(500 * time.Millisecond)
		}
		s.check.True(s.knows())
		s.spend(0.05)
		s.check.True(s.given >= 0.64*s.share())
		s.spendRest()
	})
}

// TestWitnessesReplaced guards against a record at witnesses that have been replaced, after which
// more was spent. A start that knows the old members finds it.
func TestWitnessesReplaced(t *testing.T) {
	runStartTest(t, func(s *startTest) {
		s.spend(0.1)
		s.settle()
		s.knowOnly(3, 4, 5)
		time.Sleep(700 * time.Millisecond)
		s.spend(0.5)
		time.Sleep(300 * time.Millisecond)
		s.knowOnly(0, 1, 2)
		s.restart(20 * time.Millisecond)
		s.spendRest()
	})
}

// TestFewWitnessesAnswer guards against a start that found an old record only, and gives out tokens
// once the witnesses of that record know of it. The next start finds the newest record elsewhere.
func TestFewWitnessesAnswer(t *testing.T) {
	runStartTest(t, func(s *startTest) {
		s.spend(0.1)
		s.settle()
		s.loseOnly(2)
		s.knowOnly(3, 4, 5)
		time.Sleep(700 * time.Millisecond)
		s.spend(0.2)
		time.Sleep(300 * time.Millisecond)
		s.knowOnly(0, 1, 2)
		s.loseOnly(0, 1, 3, 4, 5)
		s.restart(20 * time.Millisecond)
		s.loseOnly(3, 4, 5)
		time.Sleep(time.Second)
		s.spend(0.4)
		s.knowOnly(3, 4, 5)
		s.loseOnly(0, 1, 2)
		s.restart(20 * time.Millisecond)
		s.spendRest()
	})
}

// TestSpentAhead guards against a start that does not count what was asked for before the newest
// record and given out after it.
func TestSpentAhead(t *testing.T) {
	runStartTest(t, func(s *startTest) {
		s.settle()
		s.check.True(s.request(0, "t", 0.5*s.share()))
		s.given += 0.5 * s.share()
		s.restart(20 * time.Millisecond)
		s.check.True(s.knows())
		s.spendRest()
	})
}

// TestLostWitnessKept guards against an instance that loses its witnesses one after the other and
// chooses no others.
func TestLostWitnessKept(t *testing.T) {
	runStartTest(t, func(s *startTest) {
		s.knowOnly(0, 1, 2, 3, 4, 5)
		s.settle()
		for lost := range 4 {
			s.loseOnly(first(lost)...)
			time.Sleep(2 * time.Second)
		}
		l := s.limiter(s.names[0])
		l.mu.Lock()
		defer l.mu.Unlock()
		s.check.True(l.lease.current())
	})
}

// TestWitnessRestarted guards against counting a witness that has forgotten the newest record.
func TestWitnessRestarted(t *testing.T) {
	runStartTest(t, func(s *startTest) {
		s.spend(0.1)
		s.settle()
		s.loseOnly(2)
		s.spend(0.5)
		time.Sleep(500 * time.Millisecond)
		s.restartAgent(0)
		s.loseOnly(1)
		s.restart(20 * time.Millisecond)
		s.spendRest()
	})
}

// newWitnessedLimiter returns a limiter that has a share of 16,000 tokens.
func newWitnessedLimiter(now *time.Duration) *Limiter {
	l := NewLimiter("entry-0", Bounds{Window: 8 * time.Second}, nil)
	l.lease.clock = func() time.Duration { return *now }
	l.Configure(teamConfig(1000, 8000), []string{"entry-0"})
	return l
}

// TestRecordsOverlap guards against a part that a record counts as spent ahead and the next one does
// not, which is on its way at the same time.
func TestRecordsOverlap(t *testing.T) {
	check := is.New(t)
	now := time.Hour
	l := newWitnessedLimiter(&now)
	l.Usage(1)
	check.True(l.Witnessed(1, now))
	check.True(!l.take("t", 5000).Allowed)
	check.True(l.Usage(2).Teams["t"].Ahead >= 5000)
	next := l.Usage(3)
	check.True(l.Witnessed(2, now))
	check.True(l.take("t", 5000).Allowed)
	check.True(next.Teams["t"].Ahead >= 5000)
}

// TestRecordTooOld guards against a lease from a record after which more than a step was spent, as
// nothing limited the spending then.
func TestRecordTooOld(t *testing.T) {
	check := is.New(t)
	now := time.Hour
	l := newWitnessedLimiter(&now)
	l.Usage(1)
	check.True(l.take("t", 5000).Allowed)
	check.True(!l.Witnessed(1, now))
	l.Usage(2)
	check.True(l.Witnessed(2, now))
}

// TestFrozenPastLease guards against an instance that keeps to a step after its lease has ended,
// because it was frozen and the monotonic clock did not count that, and against one that gives out
// more than a step while the lease lasts.
func TestFrozenPastLease(t *testing.T) {
	check := is.New(t)
	now := time.Hour
	l := newWitnessedLimiter(&now)
	l.Usage(1)
	check.True(l.Witnessed(1, now))
	check.True(!l.take("t", 0.09*16000).Allowed)
	check.True(l.take("t", 0.07*16000).Allowed)
	check.True(!l.take("t", 0.02*16000).Allowed)
	now += witness.Lease + time.Second
	check.True(l.take("t", 0.02*16000).Allowed)
}

// TestTeamDroppedFromCheckpoint guards against a checkpoint that no longer lists a team while a start
// may learn from the witnesses that it does, and give out what only listed teams get without a record.
func TestTeamDroppedFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		now := time.Hour
		l := newWitnessedLimiter(&now)
		listed := func() bool {
			c := l.Checkpoint()
			l.Confirm(c)
			return c.Spent["t"] != nil
		}
		check.True(l.take("t", 9000).Allowed)
		check.True(listed())
		check.True(l.Usage(1).Teams["t"].Listed && l.Witnessed(1, now))
		time.Sleep(l.window() + time.Millisecond)
		check.True(listed())
		check.True(!l.Usage(2).Teams["t"].Listed)
		check.True(listed())
		check.True(l.Witnessed(2, now))
		check.True(!listed())
	})
}
