package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// viewWithHomes returns a view in which the given agents are the homes of
// checkpoint "m".
func viewWithHomes(instances ...string) *controlstate.View {
	v := *controlstate.Empty()
	members := map[string]controlstate.Member{}
	h := controlstate.Homes{Offset: 1}
	for _, id := range instances {
		m := controlstate.Member{MemberJoin: record.MemberJoin{Instance: id, Incarnation: "i-" + id, Role: record.RoleAgent}}
		members[id] = m
		h.Active = append(h.Active, m.Ref())
	}
	v.Members = cowmap.FromMap(members)
	v.Homes = v.Homes.With("m", h)
	return &v
}

// TestRouterPrefersFirstHome guards against a burst that loads a cold
// checkpoint at every home, and against requests that all go to a first home
// near its limit while the other homes are idle.
func TestRouterPrefersFirstHome(t *testing.T) {
	is := is.New(t)
	r, v, req := newRouter(), viewWithHomes("a", "b", "c"), dispatch.AttemptRequest{Checkpoint: "m"}
	for range 50 {
		c, err := r.Choose(v, req, nil)
		is.NoErr(err)
		is.Equal(c.Member.Instance, "a")
	}
	c, err := r.Choose(v, req, nil)
	is.NoErr(err)
	c.Done(dispatch.End{InFlight: 60, Limit: 64}, nil)
	atOtherHomes := 0
	for range 50 {
		c, err := r.Choose(v, req, nil)
		is.NoErr(err)
		if c.Member.Instance != "a" {
			atOtherHomes++
		}
	}
	is.True(atOtherHomes > 0)
	c, err = r.Choose(v, req, []string{"a", "b"})
	is.NoErr(err)
	is.Equal(c.Member.Instance, "c")
	_, err = r.Choose(v, req, []string{"a", "b", "c"})
	is.True(errkind.Is(err, errkind.UpstreamBusy))
}
