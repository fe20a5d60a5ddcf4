package witness

import (
	"cmp"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/rendezvous"
)

// setSize is the number of witnesses of an instance. One of them may be lost.
const setSize = 3

// Candidates returns the agents among members in the order in which an instance chooses them as
// witnesses: by rendezvous hash, but first one of each data centre.
func Candidates(instance string, members map[string]fleet.Member) []fleet.Member {
	type ranked struct {
		member fleet.Member
		rank   uint64
		// turn is the number of candidates of the same data centre before this one.
		turn int
	}
	var agents []ranked
	for _, m := range members {
		if m.Role == fleet.RoleAgent {
			agents = append(agents, ranked{member: m, rank: rendezvous.Rank(instance, m.Name)})
		}
	}
	slices.SortFunc(agents, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.member.Name, b.member.Name))
	})
	turns := make(map[string]int)
	for i := range agents {
		dc := agents[i].member.DataCentre
		agents[i].turn = turns[dc]
		turns[dc]++
	}
	slices.SortStableFunc(agents, func(a, b ranked) int { return cmp.Compare(a.turn, b.turn) })
	out := make([]fleet.Member, 0, len(agents))
	for _, a := range agents {
		out = append(out, a.member)
	}
	return out
}

// Choose returns the witnesses of an instance, without the agents that excluded reports.
func Choose(instance string, members map[string]fleet.Member, excluded func(name string) bool) []fleet.Member {
	agents := slices.DeleteFunc(Candidates(instance, members), func(m fleet.Member) bool { return excluded(m.Name) })
	return agents[:min(setSize, len(agents))]
}
