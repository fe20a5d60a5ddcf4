package node

import (
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// candidates returns the live agents that may run the request: the active homes
// of its checkpoint or, if it names none, the members of its route's pool.
// Agents in data centres that are out of service are left out.
func candidates(v *controlstate.View, req dispatch.AttemptRequest) []controlstate.Member {
	if req.Checkpoint != "" {
		return activeHomes(v, req.Checkpoint)
	}
	route, _ := v.Routes.Get(req.Route)
	var out []controlstate.Member
	for _, m := range v.Members.All() {
		if m.Role == record.RoleAgent && m.Pool == route.Pool && dataCentreInService(v, m) {
			out = append(out, m)
		}
	}
	return out
}

func activeHomes(v *controlstate.View, checkpoint string) []controlstate.Member {
	h, _ := v.Homes.Get(checkpoint)
	var out []controlstate.Member
	for _, ref := range h.Active {
		m, ok := v.Members.Get(ref.Instance)
		if ok && m.Incarnation == ref.Incarnation && dataCentreInService(v, m) {
			out = append(out, m)
		}
	}
	return out
}

func dataCentreInService(v *controlstate.View, m controlstate.Member) bool {
	dc, ok := v.DataCentres.Get(m.DataCentre)
	return !ok || dc.In()
}
