package upstream

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestIdleConnectionsOfAllInstances guards against instances that each keep as many idle
// connections as they like, so that together they use up what an upstream accepts.
func TestIdleConnectionsOfAllInstances(t *testing.T) {
	for _, entries := range []int{1, 4, 28, 103} {
		for _, conns := range []int{0, 110, 490, 940} {
			check := is.New(t)
			v := testView(1, entries)
			service := v.Config.Services["e"]
			service.MaxConns = conns
			v.Config.Services["e"] = service
			total := 0
			for i := range entries {
				limit := newPoolFor(fmt.Sprintf("entry-%d", i), v).IdleLimit(v.Upstreams["i-0"].Addr)
				if conns == 0 {
					check.Equal(limit, math.MaxInt)
					continue
				}
				total += limit
			}
			check.True(float64(total) <= idleConnShare*float64(conns))
		}
	}
}
