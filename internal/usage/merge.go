package usage

import "slices"

// merge adds up the counts of a window. names are the instances, answers those that answered, and
// sections what witnesses have of the runs of instances. It returns the instances whose counts are not
// known or may be incomplete.
func merge(window int64, names []string, answers map[string]Answer, sections map[string][]Section) (Counts, []string) {
	total := make(Counts)
	var unknown []string
	for _, name := range names {
		a, answered := answers[name]
		if answered {
			total.add(a.Own)
		}
		if answered && a.Complete {
			continue
		}
		// The counts of an instance that did not answer, or of the runs before the one that did.
		found := false
		for _, s := range sections[name] {
			if !answered || s.Start != a.Start {
				found = true
				total.add(s.Own[window])
			}
		}
		if !found {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	return total, unknown
}

// sumBusy adds up the running requests of all answers.
func sumBusy(answers map[string]Answer) map[string]map[string]float64 {
	out := make(map[string]map[string]float64)
	for _, a := range answers {
		for service, dataCentres := range a.Busy {
			if out[service] == nil {
				out[service] = make(map[string]float64)
			}
			for name, busy := range dataCentres {
				out[service][name] += busy
			}
		}
	}
	return out
}
