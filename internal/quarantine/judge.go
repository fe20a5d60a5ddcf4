package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// settleTime is how long a part with evidence in its favour is not convicted after the
// crash that would convict it: requests with a harmless one that are running then complete
// meanwhile, which clears it.
const settleTime = 1500 * time.Millisecond

// judgement is the result of judging all known crashes.
type judgement struct {
	// convicted has the time of the last crash of each convicted suspect.
	convicted map[Suspect]time.Time
	// weights are those of the crashes of the other suspects that no convicted one
	// explains.
	weights map[Suspect]int
	// again is when to judge again without new evidence; zero if not needed.
	again time.Time
}

// judge convicts the suspects that explain most crashes. Requests that were only running
// beside a harmful one share some of its crashes, but not all of them, so a crash that a
// convicted suspect explains no longer counts against the others. Of suspects with equal
// evidence, the most specific one is convicted: if one request is sent again and again,
// its digest and not the parts that it shares with others.
//
// The first part of a prompt, which requests share most, and parts for which
// recentlySound is true are judged last and only after settleTime: in a series of crashes
// with several causes they are in all of them.
func judge(crashes []*Crash, recentlySound func(Suspect) bool, now time.Time) judgement {
	j := judgement{convicted: make(map[Suspect]time.Time)}
	explained := make(map[*Crash]bool)
	likely := func(s Suspect, position int) bool {
		return !s.isPart() || position > 0 && !recentlySound(s)
	}
	for {
		guilty := j.strongest(crashes, explained, likely)
		if len(guilty) == 0 {
			break
		}
		j.convict(guilty, crashes, explained)
	}
	unlikely := func(s Suspect, position int) bool { return !likely(s, position) }
	for _, s := range j.strongest(crashes, explained, unlikely) {
		if due := convictingCrash(s, crashes).Add(settleTime); now.Before(due) {
			if j.again.IsZero() || due.Before(j.again) {
				j.again = due
			}
			continue
		}
		j.convict([]Suspect{s}, crashes, explained)
	}
	j.weights = weigh(crashes, explained, likely)
	return j
}

// strongest returns the suspects among those that accept selects that have the most
// evidence, if it convicts; several if they cannot be told apart.
func (j *judgement) strongest(crashes []*Crash, explained map[*Crash]bool, accept func(Suspect, int) bool) []Suspect {
	best, bestRank := convictWeight, -1
	var out []Suspect
	positions := positionsOf(crashes)
	for s, w := range weigh(crashes, explained, accept) {
		if _, done := j.convicted[s]; done {
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

func (j *judgement) convict(guilty []Suspect, crashes []*Crash, explained map[*Crash]bool) {
	for _, s := range guilty {
		j.convicted[s] = lastCrash(s, crashes)
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
				out[s] += c.weight()
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

// convictingCrash returns when the evidence against a suspect sufficed to convict it.
func convictingCrash(s Suspect, crashes []*Crash) time.Time {
	var against []*Crash
	for _, c := range crashes {
		if counts(c, s) {
			against = append(against, c)
		}
	}
	slices.SortFunc(against, func(a, b *Crash) int { return cmp.Compare(a.AtMS, b.AtMS) })
	w := 0
	for _, c := range against {
		if w += c.weight(); w >= convictWeight {
			return c.at()
		}
	}
	return time.Time{}
}

func lastCrash(s Suspect, crashes []*Crash) time.Time {
	var last time.Time
	for _, c := range crashes {
		if counts(c, s) && c.at().After(last) {
			last = c.at()
		}
	}
	return last
}
