package tokenquota

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/witness"
)

// witnessedStart is what witnesses told of the spending of earlier starts.
type witnessedStart struct {
	quota witness.Quota
	// at is when quota was true, or later.
	at time.Time
}

// ResumeWitnessed sets what the witnesses know of earlier starts. It reports whether that is enough:
// what they had spent and one step beside it counts as spent then, and nothing has to be read from
// the store. Otherwise Resume has to follow. HoldUntil and Resume with Unread come before.
func (l *Limiter) ResumeWitnessed(found witness.Earlier) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if found.NoWitnesses {
		// No later start can ask any either.
		l.lease.holdUntil = 0
		return false
	}
	l.lease.endsOnConfirm = found.Complete
	if !found.Known {
		return false
	}
	l.earlier = &witnessedStart{quota: found.Quota, at: now.Add(-found.Age)}
	if found.Quota.Allotment != l.allotment {
		// A share of this instance may have been another's.
		return false
	}
	// A team that is added later counts as one that no checkpoint lists.
	l.startKind, l.lastCheckpoint = Restart, Checkpoint{}
	l.resumeUnread(now)
	return true
}

// Configured reports whether Configure was called.
func (l *Limiter) Configured() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances != nil
}

// resumeUnread counts what earlier starts may have spent for the teams for which that was not known.
func (l *Limiter) resumeUnread(now time.Time) {
	for team, q := range l.quotas {
		if q.unread {
			l.assumeEarlierStarts(q, team, q.share, now)
		}
	}
}

// assumeWitnessed makes count as spent what the witnesses know, and reports whether they know it.
func (l *Limiter) assumeWitnessed(q *teamQuota, team string, share float64, now time.Time) bool {
	if l.earlier == nil || l.earlier.quota.Allotment != l.allotment {
		return false
	}
	q.unread = false
	if share == 0 {
		return true
	}
	t := l.earlier.quota.Teams[team]
	for i := len(t.Spent) - 1; i >= 0; i-- {
		at := l.earlier.at.Add(-witness.SpentBefore(i))
		if t.Spent[i] > 0 && now.Sub(at) <= l.window() {
			q.spend(t.Spent[i], at)
		}
	}
	q.listed = t.Listed
	// What was recorded ahead may have been spent at any time before this start, like the step.
	q.assumeSpent(q.step+t.Ahead/share, now)
	l.signalCheckpoint()
	l.signalUsage()
	return true
}

// HoldUntil keeps all shares back until a time on the boot-time clock.
func (l *Limiter) HoldUntil(until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.holdUntil = until
}
