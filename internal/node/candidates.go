package node

import (
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// candidates returns the live agents in data centres that are in and that may
// run the order: the homes of its checkpoint, or the members of its route's pool.
func candidates(v *fold.View, o work.AttemptRequest) []fold.Member {
	if o.Checkpoint != "" {
		return homes(v, o.Checkpoint)
	}
	route, _ := v.Routes.Get(o.Route)
	var out []fold.Member
	for _, m := range v.Members.All() {
		if m.Role == record.RoleAgent && m.Pool == route.Pool && inService(v, m) {
			out = append(out, m)
		}
	}
	return out
}

func homes(v *fold.View, checkpoint string) []fold.Member {
	h, _ := v.Homes.Get(checkpoint)
	var out []fold.Member
	for _, ref := range h.Active {
		m, ok := v.Members.Get(ref.Instance)
		if ok && m.Incarnation == ref.Incarnation && inService(v, m) {
			out = append(out, m)
		}
	}
	return out
}

func inService(v *fold.View, m fold.Member) bool {
	dc, ok := v.DataCentres.Get(m.DataCentre)
	return !ok || dc.In()
}
