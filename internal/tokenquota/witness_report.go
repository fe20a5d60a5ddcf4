package tokenquota

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/witness"
)

var _ witness.Source = (*Limiter)(nil)

// maxPending limits the records that are not confirmed yet. They are made at least 25 ms apart, and
// calls to witnesses end after 250 ms.
const maxPending = 16

// pendingUsage is a record for the witnesses that is not confirmed yet.
type pendingUsage struct {
	sequence uint64
	teams    map[string]*teamRecord
}

// Usage implements witness.Source.
func (l *Limiter) Usage(sequence uint64) witness.Quota {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := witness.Quota{Allotment: l.allotment, Teams: make(map[string]witness.TeamQuota)}
	pending := pendingUsage{sequence: sequence, teams: make(map[string]*teamRecord)}
	for name, q := range l.quotas {
		if q.share == 0 {
			continue
		}
		q.expire(l.window(), now)
		ahead, aheadAt := min(q.usageWanted, q.unspent(l.window(), now)), now
		// Each of these records may still be the newest that is confirmed, so that what it allows ahead
		// may be spent after this one is made.
		for _, r := range append([]*teamRecord{q.witnessed}, l.pendingOf(name)...) {
			if left := r.left(q.spent, now); left > ahead {
				ahead, aheadAt = left, r.aheadAt
			}
		}
		q.usageWanted = 0
		r := &teamRecord{amounts: q.amounts, ahead: ahead, aheadAt: aheadAt, step: q.step * q.share}
		team := witness.TeamQuota{Ahead: math.Ceil(ahead), Listed: q.listed && l.aboveThreshold(q, now)}
		add := func(tokens float64, at time.Time) {
			i := witness.Index(now.Sub(at))
			for len(team.Spent) <= i {
				team.Spent = append(team.Spent, 0)
			}
			team.Spent[i] += tokens
		}
		for _, t := range q.spent {
			if t.tokens > 0 {
				add(t.tokens, t.at)
			}
		}
		if tokens := q.assumedSpent(l.window(), now); tokens > 0 {
			add(tokens, q.assumedAt)
			r.assumedAt = q.assumedAt
		}
		for i := range team.Spent {
			team.Spent[i] = math.Ceil(team.Spent[i])
		}
		if team.Listed {
			q.listedSequence = sequence
		}
		if len(team.Spent) > 0 || team.Ahead > 0 || team.Listed {
			out.Teams[name] = team
		}
		pending.teams[name] = r
	}
	l.pending = append(l.pending, pending)
	l.pending = l.pending[max(0, len(l.pending)-maxPending):]
	return out
}

// pendingOf returns what the records that are not confirmed yet tell of a team.
func (l *Limiter) pendingOf(team string) []*teamRecord {
	var out []*teamRecord
	for _, p := range l.pending {
		if r := p.teams[team]; r != nil {
			out = append(out, r)
		}
	}
	return out
}

// Witnessed implements witness.Source.
func (l *Limiter) Witnessed(sequence uint64, madeAt time.Duration) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.pending, func(p pendingUsage) bool { return p.sequence == sequence })
	if i < 0 || sequence <= l.witnessedSequence {
		return false
	}
	teams := l.pending[i].teams
	if !l.lease.current() {
		// Nothing has kept the spending near this record since it was made.
		for name, q := range l.quotas {
			q.expire(l.window(), now)
			if r := teams[name]; q.share > 0 && (r == nil || q.beyond(r, l.window(), now) > min(r.step, q.step*q.share)+r.ahead) {
				return false
			}
		}
	}
	for name, q := range l.quotas {
		q.witnessed = teams[name]
	}
	l.pending = slices.Delete(l.pending, 0, i+1)
	l.witnessedSequence, l.notWitnessed = sequence, false
	l.lease.until = madeAt + witness.Lease
	if l.lease.endsOnConfirm {
		l.lease.holdUntil = 0
	}
	l.announceUsage()
	return true
}

// NotWitnessed implements witness.Source. Until a record is confirmed, nobody waits for one.
func (l *Limiter) NotWitnessed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notWitnessed = true
	l.announceUsage()
}

// Superseded implements witness.Source. Nothing of the shares is given out any more.
func (l *Limiter) Superseded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.holdUntil, l.lease.endsOnConfirm, l.notWitnessed = noEnd, false, true
	l.announceUsage()
}

// UsageDue implements witness.Source.
func (l *Limiter) UsageDue() <-chan struct{} { return l.usageDue }

// UsageWanted implements witness.Source.
func (l *Limiter) UsageWanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.quotas {
		if q.usageWanted > 0 {
			return true
		}
	}
	return false
}

func (l *Limiter) signalUsage() {
	select {
	case l.usageDue <- struct{}{}:
	default:
	}
}

// announceUsage wakes those who wait for the confirmation of a record.
func (l *Limiter) announceUsage() {
	close(l.usageEnded)
	l.usageEnded = make(chan struct{})
}

// digestAllotment returns a digest of all that the shares of the teams follow from.
func (b Bounds) digestAllotment(teams []fleet.Team, instances []string) uint64 {
	d := xxhash.New()
	add := func(values ...float64) {
		for _, v := range values {
			_, _ = d.WriteString(strconv.FormatFloat(v, 'g', -1, 64) + "|")
		}
	}
	add(b.Window.Seconds(), b.Over, b.Slack)
	for _, name := range slices.Sorted(slices.Values(instances)) {
		_, _ = d.WriteString(name + "|")
	}
	sorted := slices.SortedFunc(slices.Values(teams), func(a, b fleet.Team) int { return cmp.Compare(a.Name, b.Name) })
	for _, t := range sorted {
		if t.Rate > 0 {
			_, _ = d.WriteString("@" + t.Name + "|")
			add(t.Rate, t.Burst)
		}
	}
	return d.Sum64()
}
