package usage

import "slices"

// merge adds up the counts of a window. names are the instances, answers those that answered, and
// sections the newest ones that witnesses have. It returns the instances whose counts are not known
// or may be incomplete.
func merge(window int64, names []string, answers map[string]Answer, sections map[string]Section) (Counts, []string) {
	total := make(Counts)
	var unknown []string
	for _, name := range names {
		section, witnessed := sections[name]
		a, answered := answers[name]
		switch {
		case !answered && !witnessed:
			unknown = append(unknown, name)
		case !answered:
			total.add(section.Own[window])
			total.add(section.Earlier[window])
		default:
			total.add(a.Own)
			if !addEarlier(total, window, a, section, witnessed) {
				unknown = append(unknown, name)
			}
		}
	}
	slices.Sort(unknown)
	return total, unknown
}

// addEarlier adds the counts of the earlier runs of an instance that answered and reports whether
// they are known.
func addEarlier(total Counts, window int64, a Answer, section Section, witnessed bool) bool {
	switch {
	case a.EarlierKnown || !witnessed:
		total.add(a.Earlier)
		return a.EarlierKnown
	case section.Start == a.Start:
		total.add(section.Earlier[window])
		return false
	default:
		total.add(section.Own[window])
		total.add(section.Earlier[window])
		return true
	}
}
