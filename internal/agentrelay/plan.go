package agentrelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// agentsPerSlice is how many agents one relay watches at most, apart from the spread of
// the hash. With no more agents than that, every instance watches all of them itself.
const agentsPerSlice = 64

// Plan is who watches which agents. It depends only on the view, so that instances with
// the same view agree.
type Plan struct {
	// Slices is the number of slices; 0 means that every instance watches all agents.
	Slices int
	// order has the entry instances of the data centre, those with the most processor
	// time first.
	order []fleet.Member
	// deciders are the names of the relays of all data centres, sorted.
	deciders []string
	// entries and localEntries are the numbers of entry instances in all data centres
	// and in this one.
	entries, localEntries int
}

// NewPlan returns the plan for the instances of a data centre.
func NewPlan(v *fleet.View, dataCentre string, agents int) Plan {
	if agents <= agentsPerSlice {
		return Plan{}
	}
	byDataCentre := make(map[string][]fleet.Member)
	p := Plan{Slices: (agents + agentsPerSlice - 1) / agentsPerSlice}
	for _, m := range v.Members {
		if m.Role == fleet.RoleEntry {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
			p.entries++
		}
	}
	for dc, members := range byDataCentre {
		slices.SortFunc(members, func(a, b fleet.Member) int {
			return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.Name, b.Name))
		})
		for _, m := range members[:min(p.Slices, len(members))] {
			p.deciders = append(p.deciders, m.Name)
		}
		if dc == dataCentre {
			p.order, p.localEntries = members, len(members)
		}
	}
	slices.Sort(p.deciders)
	return p
}

// SliceOf returns the slice of an upstream's agent.
func SliceOf(upstreamID string, slices int) int {
	return int(xxhash.Sum64String(upstreamID) % uint64(slices))
}

// Relay returns the instance to ask for a slice: the first in the order of the slice
// that usable accepts. The orders of two slices begin with different instances as far as
// there are enough.
func (p *Plan) Relay(slice int, usable func(fleet.Member) bool) (fleet.Member, bool) {
	for start := slice; start < slice+p.Slices; start++ {
		for i := start % p.Slices; i < len(p.order); i += p.Slices {
			if usable(p.order[i]) {
				return p.order[i], true
			}
		}
	}
	return fleet.Member{}, false
}

// Turn returns the position of an instance among the relays of all data centres, and
// their number, 0 if it is not one of them.
func (p *Plan) Turn(name string) (rank, deciders int) {
	rank, ok := slices.BinarySearch(p.deciders, name)
	if !ok {
		return 0, 0
	}
	return rank, len(p.deciders)
}
