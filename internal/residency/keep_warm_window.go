package residency

import "time"

// KeepWarmWindow defines when an idle replica stays loaded, measured from the end
// of its last use: up to MinKeepWarm, and again between From and To. If From is 0,
// the replica stays loaded up to To. Otherwise it is unloaded after MinKeepWarm
// and loaded again shortly before From, using only free memory.
type KeepWarmWindow struct {
	From, To time.Duration
}

const (
	// MinKeepWarm is how long every replica stays loaded after its last use, so that
	// all requests of one burst find it loaded.
	MinKeepWarm = 15 * time.Second
	// ReloadLead is how long before From the reload starts.
	ReloadLead = 10 * time.Second
	// plannedReloadCost is the idle time that costs as much as one planned reload,
	// which delays no request but uses the weight store.
	plannedReloadCost = time.Minute
)

// KeepsLoaded reports whether a replica stays loaded at the given time since its last use.
func (w KeepWarmWindow) KeepsLoaded(idle time.Duration) bool {
	if idle <= MinKeepWarm {
		return true
	}
	return idle >= w.reloadAt() && idle <= w.To
}

// reloadAt returns the idle time at which the replica is loaded again, or 0 if it
// is not unloaded before To.
func (w KeepWarmWindow) reloadAt() time.Duration {
	if w.From == 0 {
		return 0
	}
	return max(0, w.From-ReloadLead)
}

// ReloadDue reports whether an unloaded replica should be loaded again.
func (w KeepWarmWindow) ReloadDue(idle time.Duration) bool {
	return w.From > 0 && idle > MinKeepWarm && w.KeepsLoaded(idle)
}
