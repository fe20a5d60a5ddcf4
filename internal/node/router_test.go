package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/cow"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// viewWithHomes has the checkpoint "m" at the given agents.
func viewWithHomes(instances ...string) *fold.View {
	v := *fold.Empty()
	members := map[string]fold.Member{}
	h := fold.Homes{Offset: 1}
	for _, id := range instances {
		m := fold.Member{MemberJoin: record.MemberJoin{Instance: id, Incarnation: "i-" + id, Role: record.RoleAgent}}
		members[id] = m
		h.Active = append(h.Active, m.Ref())
	}
	v.Members = cow.FromMap(members)
	v.Homes = v.Homes.With("m", h)
	return &v
}

// TestFirstHome guards against a cold checkpoint being loaded at every home in
// one burst, and against a first home without room keeping the others idle.
func TestFirstHome(t *testing.T) {
	is := is.New(t)
	r, v, o := newRouter(), viewWithHomes("a", "b", "c"), work.AttemptRequest{Checkpoint: "m"}
	for range 50 {
		c, err := r.Choose(v, o, nil)
		is.NoErr(err)
		is.Equal(c.Member.Instance, "a")
	}
	c, err := r.Choose(v, o, nil)
	is.NoErr(err)
	c.Done(work.End{InFlight: 60, Limit: 64}, nil)
	elsewhere := 0
	for range 50 {
		c, err := r.Choose(v, o, nil)
		is.NoErr(err)
		if c.Member.Instance != "a" {
			elsewhere++
		}
	}
	is.True(elsewhere > 0)
	c, err = r.Choose(v, o, []string{"a", "b"})
	is.NoErr(err)
	is.Equal(c.Member.Instance, "c")
	_, err = r.Choose(v, o, []string{"a", "b", "c"})
	is.True(errkind.Is(err, errkind.UpstreamBusy))
}
