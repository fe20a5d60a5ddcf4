package fleet

// View is what an instance knows at one moment. It is immutable.
type View struct {
	Config    *Config
	Upstreams map[string]*Upstream
	// Evacuated are the data centres that get no work.
	Evacuated map[string]bool
	Members   map[string]Member
}

// Entries returns the number of entry instances that have announced themselves.
func (v *View) Entries() int {
	n := 0
	for _, m := range v.Members {
		if m.Role == RoleEntry {
			n++
		}
	}
	return n
}

// Engines returns the number of model engines of a service.
func (v *View) Engines(service string) int {
	n := 0
	for _, u := range v.Upstreams {
		if u.Service == service {
			n++
		}
	}
	return n
}
