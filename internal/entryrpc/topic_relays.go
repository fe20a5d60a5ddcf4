package entryrpc

import (
	"cmp"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

const (
	// instancesPerRelay is how many instances share one relay, itself included.
	instancesPerRelay = 16
	// minLargeFleet is the number of entry instances from which on each data centre has
	// relays of its own, so that records cross to it once, and the operators topic is
	// read from them too. In smaller fleets reading the store costs little, and a change
	// of the operators arrives without a relay between.
	minLargeFleet = 33
)

// topicRelays returns the relays that the instance called self and its neighbours read a
// topic from: those with the most processor time, one for every instancesPerRelay usable
// instances. Instances with the same members agree on them without coordination.
func topicRelays(v *fleet.View, self string, t topicwatch.Name, usable func(fleet.Member) bool) []fleet.Member {
	var members []fleet.Member
	entries := 0
	local, known := v.Members[self]
	for _, m := range v.Members {
		if m.Role != fleet.RoleEntry {
			continue
		}
		entries++
		if usable(m) {
			members = append(members, m)
		}
	}
	large := entries >= minLargeFleet
	if t == topicwatch.Operators && !large {
		return nil
	}
	if large && known {
		members = slices.DeleteFunc(members, func(m fleet.Member) bool { return m.DataCentre != local.DataCentre })
	}
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.Name, b.Name))
	})
	return members[:(len(members)+instancesPerRelay-1)/instancesPerRelay]
}
