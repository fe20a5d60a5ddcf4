package quarantine

import (
	"slices"
	"time"
)

// settleTime is how long a part with evidence in its favour is not quarantined after the
// crash that would quarantine it: requests with a harmless one that are running then complete
// meanwhile, which clears it.
const settleTime = 1500 * time.Millisecond

// attribution is what all known crashes are attributed to.
type attribution struct {
	// quarantined has until when each suspect that reached quarantineWeight is refused.
	quarantined map[Suspect]time.Time
	// weights are those of the crashes of the other suspects that no quarantined one
	// explains.
	weights map[Suspect]int
	// again is when to attribute the crashes again without new evidence; zero if not needed.
	again time.Time
}

// attribute quarantines the suspects that explain most crashes. Requests that were only running
// beside a harmful one share some of its crashes, but not all of them, so a crash that a
// quarantined suspect explains no longer counts against the others. Of suspects with equal
// evidence, the most specific one is quarantined: if one request is sent again and again,
// its digest and not the parts that it shares with others.
//
// The first part of a prompt, which requests share most, and parts for which
// recentlyCompleted is true are considered last and only after settleTime: in a series of crashes
// with several causes they are in all of them.
func attribute(crashes []*Crash, recentlyCompleted func(Suspect) bool, now time.Time) attribution {
	j := attribution{quarantined: make(map[Suspect]time.Time)}
	explained := make(map[*Crash]bool)
	likely := func(s Suspect, position int) bool {
		return !s.isPart() || position > 0 && !recentlyCompleted(s)
	}
	for {
		found := j.strongest(crashes, explained, likely)
		if len(found) == 0 || len(found) > 1 && j.settling(found[0], crashes, now) {
			break
		}
		j.quarantine(found, crashes, explained)
	}
	unlikely := func(s Suspect, position int) bool { return !likely(s, position) }
	for _, s := range j.strongest(crashes, explained, unlikely) {
		if j.settling(s, crashes, now) {
			continue
		}
		j.quarantine([]Suspect{s}, crashes, explained)
	}
	j.weights = weigh(crashes, explained, likely)
	return j
}

// settling reports whether settleTime has not passed since the crash that would quarantine
// a suspect.
func (j *attribution) settling(s Suspect, crashes []*Crash, now time.Time) bool {
	due := thresholdCrash(s, crashes).Add(settleTime)
	if !now.Before(due) {
		return false
	}
	if j.again.IsZero() || due.Before(j.again) {
		j.again = due
	}
	return true
}

// strongest returns the suspects among those that accept selects that have the most
// evidence, if it reaches quarantineWeight; several if they cannot be told apart.
func (j *attribution) strongest(crashes []*Crash, explained map[*Crash]bool, accept func(Suspect, int) bool) []Suspect {
	best, bestRank := quarantineWeight, -1
	var out []Suspect
	positions := positionsOf(crashes)
	for s, w := range weigh(crashes, explained, accept) {
		if _, done := j.quarantined[s]; done {
			continue
		}
		rank := specificity(s, positions[s])
		switch {
		case w < best || w == best && rank < bestRank:
		case w > best || rank > bestRank:
			best, bestRank, out = w, rank, []Suspect{s}
		default:
			out = append(out, s)
		}
	}
	return out
}

func (j *attribution) quarantine(found []Suspect, crashes []*Crash, explained map[*Crash]bool) {
	for _, s := range found {
		j.quarantined[s] = refusedUntil(s, crashes)
		for _, c := range crashes {
			if counts(c, s) {
				explained[c] = true
			}
		}
	}
}

// specificity ranks suspects by how few requests have them in common.
func specificity(s Suspect, position int) int {
	if s.isPart() {
		return position
	}
	return maxParts + 1
}

// counts reports whether a crash is evidence against a suspect.
func counts(c *Crash, s Suspect) bool {
	_, ran := c.Suspects[s]
	return ran && !c.Cleared[s]
}

// weigh returns the evidence against each accepted suspect from the crashes that are not
// explained.
func weigh(crashes []*Crash, explained map[*Crash]bool, accept func(Suspect, int) bool) map[Suspect]int {
	positions := positionsOf(crashes)
	out := make(map[Suspect]int)
	for _, c := range crashes {
		if explained[c] {
			continue
		}
		for s := range c.Suspects {
			if !c.Cleared[s] && accept(s, positions[s]) {
				out[s] += c.weight(s)
			}
		}
	}
	return out
}

// positionsOf returns the lowest position of each suspect in any crash.
func positionsOf(crashes []*Crash) map[Suspect]int {
	out := make(map[Suspect]int)
	for _, c := range crashes {
		for s, position := range c.Suspects {
			if old, ok := out[s]; !ok || position < old {
				out[s] = position
			}
		}
	}
	return out
}

// thresholdCrash returns when the evidence against a suspect reached quarantineWeight.
func thresholdCrash(s Suspect, crashes []*Crash) time.Time {
	var against []*Crash
	for _, c := range crashes {
		if counts(c, s) {
			against = append(against, c)
		}
	}
	slices.SortFunc(against, func(a, b *Crash) int { return a.at.Compare(b.at) })
	w := 0
	for _, c := range against {
		if w += c.weight(s); w >= quarantineWeight {
			return c.at
		}
	}
	return time.Time{}
}

// refusedUntil returns until when a quarantined suspect is refused.
func refusedUntil(s Suspect, crashes []*Crash) time.Time {
	var last time.Time
	n := 0
	for _, c := range crashes {
		if !counts(c, s) {
			continue
		}
		n++
		if c.at.After(last) {
			last = c.at
		}
	}
	const quarantineCrashes = quarantineWeight / warmWeight
	return last.Add(durations[min(max(0, n-quarantineCrashes), len(durations)-1)])
}
