package witness

import "slices"

// hasMajorities reports whether a majority of each set satisfies has. Any two majorities of a set
// have a member in common.
func hasMajorities(sets [][]string, has func(name string) bool) bool {
	for _, set := range sets {
		n := 0
		for _, name := range set {
			if has(name) {
				n++
			}
		}
		if n <= len(set)/2 {
			return false
		}
	}
	return true
}

// addSet appends a set of witnesses that is not empty and not among sets.
func addSet(sets [][]string, set []string) [][]string {
	if len(set) == 0 || slices.ContainsFunc(sets, func(s []string) bool { return slices.Equal(s, set) }) {
		return sets
	}
	return append(sets, set)
}
