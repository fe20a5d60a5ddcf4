package residency

import "time"

// KeepWarmWindow tells when an idle replica is held, counted from the end of its last
// use: up to Short, and again from From to To. From of 0 holds it from the
// start. In between it is unloaded and then loaded again with spare capacity.
type KeepWarmWindow struct {
	From, To time.Duration
}

const (
	// MinKeepWarm is how long every replica outlives its last use, so that the
	// requests of one burst meet it loaded.
	MinKeepWarm = 15 * time.Second
	// ReloadLead is how long before From the reload starts.
	ReloadLead = 10 * time.Second
	// plannedReload is the idle time that is worth one planned reload, which
	// makes nobody wait but uses the weight store.
	plannedReload = time.Minute
)

// KeepsLoaded reports whether a replica is held at the given time since its last use.
func (w KeepWarmWindow) KeepsLoaded(idle time.Duration) bool {
	if idle <= MinKeepWarm {
		return true
	}
	return idle >= w.reloadAt() && idle <= w.To
}

// reloadAt is when a replica that is not held from the start is loaded again.
func (w KeepWarmWindow) reloadAt() time.Duration {
	if w.From == 0 {
		return 0
	}
	return max(0, w.From-ReloadLead)
}

// ReloadDue reports whether an unloaded replica is to be loaded again.
func (w KeepWarmWindow) ReloadDue(idle time.Duration) bool {
	return w.From > 0 && idle > MinKeepWarm && w.KeepsLoaded(idle)
}
