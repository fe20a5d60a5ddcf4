package tokenquota

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Checkpoints tell a restarted instance what it spent before. Teams with low
// usage need none: unless a confirmed checkpoint lists a team, the instance spends at
// most unrecordedFraction of the share.
const (
	// checkpointThreshold is the fraction of a share above which checkpoints are
	// written.
	checkpointThreshold = 0.45
	// checkpointStep is the fraction of a share that may be spent between two
	// checkpoints.
	checkpointStep = 0.15
	// lostFraction is the fraction of a share that counts as spent if the last checkpoint is lost.
	// To refuse all teams for a window would cost them more than one of them may spend twice.
	lostFraction = 0.8
	// busyFraction is the fraction from which on a team in an older checkpoint counts as busy,
	// and all of its share as spent. It is above lostFraction, which checkpoints may contain.
	busyFraction = 0.9
	// clockMargin covers wall clocks that differ or jump between the writing
	// and the reading of a checkpoint.
	clockMargin = 3 * time.Second
)

// Checkpoint is what an instance has spent of its shares, for the teams above
// checkpointThreshold.
type Checkpoint struct {
	// At is when the checkpoint was written, in Unix milliseconds.
	At int64 `json:"at"`
	// Era is the store's era as known when the checkpoint was written, 0 if unknown. One of an
	// earlier era than the store's may not be the last that the instance has written.
	Era int64 `json:"era,omitempty"`
	// Spent has, by team, the tokens spent in each second before At, latest
	// second first.
	Spent map[string][]float64 `json:"spent"`

	// records are the teams that it lists, for Confirm.
	records map[string]*teamRecord
}

// maxCheckpointMS is a time far in the future, in Unix milliseconds. Sums with it do not overflow.
const maxCheckpointMS = 1 << 52

// Valid reports whether an instance can have written the checkpoint.
func (c Checkpoint) Valid() bool {
	for _, seconds := range c.Spent {
		for _, tokens := range seconds {
			if tokens < 0 {
				return false
			}
		}
	}
	return c.At >= 0 && c.At <= maxCheckpointMS && c.Era >= 0
}

// sum returns the tokens that a team spent.
func (c Checkpoint) sum(team string) float64 {
	out := 0.0
	for _, tokens := range c.Spent[team] {
		out += tokens
	}
	return out
}

// StartKind tells what an instance knows of its earlier starts.
type StartKind int

// Kinds of starts.
const (
	// FirstStart means that nothing can have been spent.
	FirstStart StartKind = iota
	// Restart means that an earlier start may have spent what its checkpoint
	// lists plus one checkpointStep, and what needs no record in any case.
	Restart
	// Joined means that the other instances did not know of this one, so that they
	// may have spent its share.
	Joined
	// CheckpointLost is a Restart whose checkpoint is older than the last that was written, since
	// the store has come back from a copy. Any team may have spent its share since.
	CheckpointLost
	// Unread means that the store has not told what earlier starts spent. All of this instance's
	// shares may be spent, until a further call of Resume tells.
	Unread
)

// newTeamQuota returns a team's quota at this instance, in which the tokens that
// earlier starts may have spent count as spent.
func (l *Limiter) newTeamQuota(t fleet.Team, share float64, now time.Time) *teamQuota {
	q := &teamQuota{share: share, rateFraction: l.bounds.rateFraction(t.Rate, t.Burst), step: l.bounds.stepFraction(t.Rate, t.Burst), lease: &l.lease}
	l.assumeEarlierStarts(q, t.Name, share, now)
	return q
}

// assumeEarlierStarts makes count as spent what earlier starts may have spent.
func (l *Limiter) assumeEarlierStarts(q *teamQuota, team string, share float64, now time.Time) {
	if l.assumeWitnessed(q, team, share, now) {
		return
	}
	q.unread = l.startKind == Unread
	q.assumeSpent(0, now)
	switch {
	case l.startKind == FirstStart:
	case l.startKind == Unread:
		q.assumeSpent(1, now)
	case l.startKind == Joined || l.startKind == CheckpointLost && l.lastCheckpoint.sum(team) >= busyFraction*share:
		q.assumeSpent(1, now)
	default:
		// Recorded amounts count as later than they were, in case a clock has stepped. What was spent
		// after the checkpoint took the place of those that have truly left the window by now.
		age := time.Since(time.UnixMilli(l.lastCheckpoint.At))
		countedAge := max(0, age-clockMargin)
		recorded, inWindow := 0.0, 0.0
		spent := l.lastCheckpoint.Spent[team]
		for i := len(spent) - 1; i >= 0; i-- {
			elapsed := time.Duration(i) * time.Second
			if countedAge+elapsed <= l.window() {
				q.spend(spent[i], now.Add(-countedAge-elapsed))
				recorded += spent[i]
			}
			if age+elapsed+time.Second <= l.window() {
				inWindow += spent[i]
			}
		}
		if recorded > 0 {
			q.record = &teamRecord{amounts: q.amounts}
		}
		_, q.listed = l.lastCheckpoint.Spent[team]
		// The earlier start kept to limit, with this checkpoint or a later one that was lost.
		assumed := q.unrecorded(q.listed)
		if l.startKind == CheckpointLost {
			assumed = max(lostFraction, assumed)
		}
		q.assumeSpent(max(checkpointStep, assumed-inWindow/max(1, share)), now)
		// If this start wrote no checkpoint, the next start would not know of the
		// spending assumed here, and several starts in a row could each spend a
		// step.
		if share > 0 {
			l.signalCheckpoint()
		}
	}
}

// assumeSpent makes a fraction of the share count as spent at now. It is a
// fraction because the share changes once the number of instances is known.
func (q *teamQuota) assumeSpent(fraction float64, now time.Time) {
	q.assumedFraction, q.assumedAt = fraction, now
}

// assumedSpent returns the number of tokens that assumeSpent made count as spent,
// or 0 once they are older than a window.
func (q *teamQuota) assumedSpent(window time.Duration, now time.Time) float64 {
	if q.assumedAt.IsZero() || now.Sub(q.assumedAt) > window {
		return 0
	}
	return q.assumedFraction * q.share
}

// countTowardCheckpoint adds tokens to those spent since the last checkpoint. It
// signals that a checkpoint is due if the team is above the threshold and has
// spent half a step since then.
func (l *Limiter) countTowardCheckpoint(q *teamQuota, tokens float64, now time.Time) {
	l.signalUsage()
	q.spentSinceCheckpoint += tokens
	if !l.aboveThreshold(q, now) || q.spentSinceCheckpoint < checkpointStep/2*q.share {
		return
	}
	l.signalCheckpoint()
}

func (l *Limiter) signalCheckpoint() {
	select {
	case l.checkpointDue <- struct{}{}:
	default:
	}
}

// RequestCheckpoint makes a checkpoint due, because the store may have lost the last one.
func (l *Limiter) RequestCheckpoint() { l.signalCheckpoint() }

// aboveThreshold reports whether the spent part of the share has reached
// checkpointThreshold.
func (l *Limiter) aboveThreshold(q *teamQuota, now time.Time) bool {
	return q.share > 0 && q.spentSum+q.assumedSpent(l.window(), now) >= checkpointThreshold*q.share
}

// CheckpointDue receives a value when a checkpoint should be written.
func (l *Limiter) CheckpointDue() <-chan struct{} { return l.checkpointDue }

// Checkpoint returns what has been spent of the shares, for the teams above
// checkpointThreshold and those that want more than they may spend without a record. It resets the
// count of tokens spent since the last one. The caller writes it and calls Confirm or NotWritten.
func (l *Limiter) Checkpoint() Checkpoint {
	now := time.Now()
	c := Checkpoint{At: now.UnixMilli(), Spent: make(map[string][]float64), records: make(map[string]*teamRecord)}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, q := range l.quotas {
		q.expire(l.window(), now)
		q.spentSinceCheckpoint = 0
		ahead, aheadAt := min(q.wanted, q.unspent(l.window(), now)), now
		if left := q.record.left(q.spent, now); left > ahead {
			ahead, aheadAt = left, q.record.aheadAt
		}
		q.wanted = 0
		// A team that was listed stays so in an outage, in which it could not be listed again, and while
		// the next start may learn from the witnesses that it is listed.
		if ahead == 0 && !l.aboveThreshold(q, now) && !(q.listed && (l.notWritten || l.reportedListed(q))) {
			q.listed = false
			continue
		}
		record := &teamRecord{amounts: q.amounts, ahead: ahead, aheadAt: aheadAt}
		byAge := make([]float64, int(l.window()/time.Second)+1)
		add := func(tokens float64, at time.Time) {
			byAge[min(max(0, int(now.Sub(at)/time.Second)), len(byAge)-1)] += tokens
		}
		for _, t := range q.spent {
			add(t.tokens, t.at)
		}
		if tokens := q.assumedSpent(l.window(), now); tokens > 0 {
			add(tokens, q.assumedAt)
			record.assumedAt = q.assumedAt
		}
		add(ahead, now)
		c.Spent[name], c.records[name] = byAge, record
	}
	return c
}

// reportedListed reports whether the witnesses may have a record, of this start or of an earlier one,
// that tells that a checkpoint lists the team.
func (l *Limiter) reportedListed(q *teamQuota) bool {
	return l.lease.held() || q.listedSequence > 0 && l.lease.current() && l.witnessedSequence <= q.listedSequence
}

// Confirm tells that the store has taken a checkpoint. What it lists may be spent, as the next start
// knows of it. Checkpoints are confirmed in the order in which they were made.
func (l *Limiter) Confirm(c Checkpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, q := range l.quotas {
		q.record = c.records[name]
		q.listed = q.record != nil
	}
	l.notWritten = false
	l.announceWrite()
}

// NotWritten tells that the store has not taken a checkpoint. Until it takes one, nobody waits for
// it.
func (l *Limiter) NotWritten() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notWritten = true
	l.announceWrite()
}

// announceWrite wakes those who wait for the end of a write.
func (l *Limiter) announceWrite() {
	close(l.writeEnded)
	l.writeEnded = make(chan struct{})
}

// recordWait is how long a request waits for the checkpoint that it needs. A sound store takes it in
// 6 ms, and the one before may have been written just then.
const recordWait = 200 * time.Millisecond

// recordWaiter waits for the end of a write of a checkpoint that had not ended when it was made.
type recordWaiter struct {
	ended <-chan struct{}
	// none tells that the store has not taken the last checkpoint, so that nobody waits.
	none bool
}

// newRecordWaiter returns a waiter. The caller holds the lock, so that no end is missed after it has
// found that a record is missing.
func (l *Limiter) newRecordWaiter() recordWaiter {
	return recordWaiter{ended: l.writeEnded, none: l.notWritten}
}

// wait waits until the write has ended, and reports whether it is worth trying again.
func (w recordWaiter) wait(ctx context.Context, timeout <-chan time.Time) bool {
	if w.none {
		return false
	}
	select {
	case <-w.ended:
		return true
	case <-timeout:
	case <-ctx.Done():
	}
	return false
}
