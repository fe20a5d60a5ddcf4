package controlstate

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// TestLateReleaseIsIgnored guards H1 against F18. An instance loses a home, gets
// it back and loses it again. A release report from before the second loss must
// not free the home, because the agent may have loaded a new replica since.
func TestLateReleaseIsIgnored(t *testing.T) {
	for _, tc := range []struct {
		asOf backing.Offset
		held bool
	}{{asOf: 3, held: true}, {asOf: 4, held: true}, {asOf: 5, held: false}} {
		is := is.New(t)
		v := Empty()
		v.Models = v.Models.With("m", config.Model{MaxReplicas: 1})
		ref := record.InstanceRef{Instance: "a", Incarnation: "1"}
		apply := func(offset backing.Offset, body record.Body) {
			e, err := record.New("test", 0, body)
			is.NoErr(err)
			v, _ = v.Apply(offset, e)
		}
		apply(1, record.MemberJoin{Instance: "a", Incarnation: "1"})
		apply(2, record.PlaceHomes{Entries: []record.HomeAssignment{{Checkpoint: "m", Homes: []record.InstanceRef{ref}}}})
		apply(3, record.PlaceHomes{Entries: []record.HomeAssignment{{Checkpoint: "m", Base: 2}}})
		apply(4, record.PlaceHomes{Entries: []record.HomeAssignment{{Checkpoint: "m", Base: 3, Homes: []record.InstanceRef{ref}}}})
		apply(5, record.PlaceHomes{Entries: []record.HomeAssignment{{Checkpoint: "m", Base: 4}}})
		apply(6, record.PlaceReleased{AsOf: tc.asOf, Home: ref, Checkpoints: []string{"m"}})
		h, _ := v.Homes.Get("m")
		is.Equal(len(h.Releasing) == 1, tc.held) // still counted as releasing
	}
}
