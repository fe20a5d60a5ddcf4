package fleet

import "slices"

// View is an immutable snapshot of what an instance knows of the system.
type View struct {
	Config    *Config
	Upstreams map[string]*Upstream
	// Evacuated are the data centres that must not get requests.
	Evacuated map[string]bool
	Members   map[string]Member
}

// EntryCount returns the number of entry instances in Members.
func (v *View) EntryCount() int { return len(v.EntryNames()) }

// EntryNames returns the names of the entry instances in Members, sorted.
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

// EntryRank returns the zero-based position of an entry instance in EntryNames.
func (v *View) EntryRank(name string) int {
	rank := 0
	for _, m := range v.Members {
		if m.Role == RoleEntry && m.Name < name {
			rank++
		}
	}
	return rank
}

// ServiceRank returns how many upstreams the service of upstream id has, id
// included, and the zero-based position of id among them in the order of ids. It
// returns zeros for an unknown id.
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
