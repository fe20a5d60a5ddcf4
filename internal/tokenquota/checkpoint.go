package tokenquota

import "time"

// Checkpoints let a restarted instance know what it spent before. A calm team
// needs none: without a checkpoint an instance has spent at most calmShare of
// its share, or a checkpoint was about to be written.
const (
	calmShare = 0.45
	// stepShare of a share may be spent between two checkpoints.
	stepShare = 0.15
	// clockMargin covers times of day that differ or jump between the writing of
	// a checkpoint and its reading.
	clockMargin = 3 * time.Second
)

// Checkpoint is what an instance has spent of the shares of busy teams.
type Checkpoint struct {
	// At is the time of day of the writing, in Unix milliseconds.
	At int64 `json:"at"`
	// Spent has, by team, the tokens spent in each second before, newest first.
	Spent map[string][]float64 `json:"spent"`
}

// StartKind tells what an instance knows of its earlier starts.
type StartKind int

// Kinds of starts.
const (
	// FirstStart means that nothing can have been spent.
	FirstStart StartKind = iota
	// Restart means that an earlier start may have spent up to its checkpoint and
	// one step more, or calmShare without one.
	Restart
	// Joined means that others may have spent the share of this instance, since
	// they did not know of it.
	Joined
)

// opening returns the account of a team at the start of an instance.
func (b *Limiter) opening(team string, share float64, now time.Time) *account {
	a := &account{share: share}
	switch b.start {
	case Joined:
		a.assume(1, now)
	case Restart:
		age := max(0, time.Since(time.UnixMilli(b.before.At))-clockMargin)
		known := 0.0
		spent := b.before.Spent[team]
		for i := len(spent) - 1; i >= 0; i-- {
			at := now.Add(-age - time.Duration(i)*time.Second)
			if now.Sub(at) <= b.window() {
				a.spend(spent[i], at)
				known += spent[i]
			}
		}
		// Either the last checkpoint has all but a step, or less than calmShare was
		// spent.
		a.assume(max(stepShare, calmShare+stepShare-known/max(1, share)), now)
		// Without a checkpoint of its own this start would be forgotten by the next,
		// and several in a row could each spend a step.
		if share > 0 {
			b.markDue()
		}
	case FirstStart:
	}
	return a
}

// assume makes a part of the share count as spent at now, also when the share
// changes because the number of instances becomes known.
func (a *account) assume(part float64, now time.Time) {
	a.assumed, a.assumedAt = part, now
}

// assumedNow is the part of the share that still counts as spent.
func (a *account) assumedNow(window time.Duration, now time.Time) float64 {
	if a.assumedAt.IsZero() || now.Sub(a.assumedAt) > window {
		return 0
	}
	return a.assumed * a.share
}

// noteSpent marks a checkpoint as due when a busy team has spent a step.
func (b *Limiter) noteSpent(a *account, tokens float64, now time.Time) {
	a.sinceCheckpoint += tokens
	if !b.busy(a, now) || a.sinceCheckpoint < stepShare/2*a.share {
		return
	}
	b.markDue()
}

func (b *Limiter) markDue() {
	select {
	case b.due <- struct{}{}:
	default:
	}
}

// busy reports whether more counts as spent than a start without a checkpoint
// assumes.
func (b *Limiter) busy(a *account, now time.Time) bool {
	return a.share > 0 && a.spentSum+a.assumedNow(b.window(), now) >= calmShare*a.share
}

// CheckpointDue receives a value when a checkpoint should be written.
func (b *Limiter) CheckpointDue() <-chan struct{} { return b.due }

// Checkpoint returns what is spent of the shares of busy teams.
func (b *Limiter) Checkpoint() Checkpoint {
	now := time.Now()
	c := Checkpoint{At: now.UnixMilli(), Spent: make(map[string][]float64)}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, a := range b.accounts {
		a.trim(b.window(), now)
		a.sinceCheckpoint = 0
		if !b.busy(a, now) {
			continue
		}
		ages := make([]float64, int(b.window()/time.Second)+1)
		add := func(tokens float64, at time.Time) {
			ages[min(max(0, int(now.Sub(at)/time.Second)), len(ages)-1)] += tokens
		}
		for _, e := range a.spent {
			add(e.tokens, e.at)
		}
		if tokens := a.assumedNow(b.window(), now); tokens > 0 {
			add(tokens, a.assumedAt)
		}
		c.Spent[name] = ages
	}
	return c
}
