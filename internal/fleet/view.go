package fleet

import "slices"

// View is what an instance knows at one moment. It is immutable.
type View struct {
	Config    *Config
	Upstreams map[string]*Upstream
	// Evacuated are the data centres that get no work.
	Evacuated map[string]bool
	Members   map[string]Member
}

// EntryCount returns the number of entry instances that have announced themselves.
func (v *View) EntryCount() int { return len(v.EntryNames()) }

// EntryNames returns the names of those, sorted.
func (v *View) EntryNames() []string {
	var names []string
	for _, m := range v.Members {
		if m.Role == RoleEntry {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// EntryRank returns the place of an entry instance among all, in the order of
// their names.
func (v *View) EntryRank(name string) int {
	rank := 0
	for _, m := range v.Members {
		if m.Role == RoleEntry && m.Name < name {
			rank++
		}
	}
	return rank
}

// ServiceRank returns how many upstreams share a service with the one called id,
// and its place among them in the order of their ids.
func (v *View) ServiceRank(id string) (n, rank int) {
	self, ok := v.Upstreams[id]
	if !ok {
		return 0, 0
	}
	for _, u := range v.Upstreams {
		if u.Service != self.Service {
			continue
		}
		n++
		if u.ID < id {
			rank++
		}
	}
	return n, rank
}
