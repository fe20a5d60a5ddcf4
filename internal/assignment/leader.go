// Package assignment plans which upstreams are the homes of each model and adapter,
// that is, which upstreams may load it.
//
// A plan depends only on the view, the state built from the control stream.
// Each planned entry names the offset of the homes that it replaces, and package
// fold rejects the entry if those homes have changed since or if it exceeds the
// maximum of replicas. If two instances plan at the same time, the entries of the
// later record therefore have no effect.
package assignment

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Leader returns the live entry instance that runs the given fleet-wide task,
// and false if there is none. It is the one with the lowest hash of the task
// and its incarnation. Entry instances in data centres that are configured as out
// are chosen only if there are no others.
func Leader(v *controlstate.View, task string) (controlstate.Member, bool) {
	var leader controlstate.Member
	var leaderKey uint64
	leaderOut, found := false, false
	for _, m := range v.Members.All() {
		if m.Role != record.RoleEntry {
			continue
		}
		dc, known := v.DataCentres.Get(m.DataCentre)
		out := known && !dc.In()
		key := xxhash.Sum64String(task + "/" + m.Incarnation)
		if !found || leaderOut && !out || leaderOut == out && key < leaderKey {
			leader, leaderKey, leaderOut, found = m, key, out, true
		}
	}
	return leader, found
}
