package upstream

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestUnusableReason guards against a refusal whose log does not tell an evacuated data centre from
// upstreams that leave: operators took the one for the other.
func TestUnusableReason(t *testing.T) {
	check := is.New(t)
	p := NewPool("entry-0", "a", Bounds{})
	p.Update(&fleet.View{
		Config: &fleet.Config{Services: map[string]fleet.Service{"desk": {Name: "desk"}}}, Evacuated: map[string]bool{"c": true},
		Upstreams: map[string]*fleet.Upstream{
			"i-1": {ID: "i-1", Service: "desk", Addr: "10.0.0.1:80", DataCentre: "a", Draining: true},
			"i-2": {ID: "i-2", Service: "desk", Addr: "10.0.0.2:80", DataCentre: "c"},
			"i-3": {ID: "i-3", Service: "desk", Addr: "10.0.0.3:80", DataCentre: "c"},
		},
	})
	_, unavailable := p.Pick(&Query{Service: "desk"})
	check.Equal(unavailable.Reason, "no usable upstream for the service (2 evacuated, 1 leaving)")
	_, unavailable = p.Pick(&Query{Service: "other"})
	check.Equal(unavailable.Reason, "no usable upstream for the service (none listed)")
}
