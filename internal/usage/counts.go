package usage

import "maps"

// Counts are numbers of runs by team.
type Counts map[string]int64

// add adds the counts of other.
func (c Counts) add(other Counts) {
	for team, n := range other {
		c[team] += n
	}
}

// byWindow are counts by window.
type byWindow map[int64]Counts

// addRuns adds runs of a team in a window.
func (b byWindow) addRuns(window int64, team string, n int64) {
	counts := b[window]
	if counts == nil {
		counts = make(Counts)
		b[window] = counts
	}
	counts[team] += n
}

// since returns a copy of the counts of windows from first on.
func (b byWindow) since(first int64) byWindow {
	out := make(byWindow)
	for window, counts := range b {
		if window >= first {
			out[window] = maps.Clone(counts)
		}
	}
	return out
}

// forgetBefore removes the counts of windows before first.
func (b byWindow) forgetBefore(first int64) {
	maps.DeleteFunc(b, func(window int64, _ Counts) bool { return window < first })
}
