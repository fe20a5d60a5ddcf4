package upstream

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestPlainUpstreamGetsMoreThanItsNamedLimit guards against instances that ignore the limit
// that an upstream without an agent names, or that each keep it alone. The platform allows
// 1.5 times the limit and 5 requests in 4 s over all instances.
func TestPlainUpstreamGetsMoreThanItsNamedLimit(t *testing.T) {
	const length, window = 20 * time.Second, 4 * time.Second
	for _, entries := range []int{1, 4, 28, 103} {
		for _, limit := range []float64{0.3, 1, 2.8, 60} {
			t.Run(fmt.Sprintf("%d/%v", entries, limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					check := is.New(t)
					v := testView(1, entries)
					v.Upstreams["i-0"].Service = "plain"
					maps.DeleteFunc(v.Members, func(_ string, m fleet.Member) bool { return m.Role == fleet.RoleAgent })
					v.Config.Services["plain"] = fleet.Service{Name: "plain"}
					pools := make([]*Pool, entries)
					for i := range pools {
						pools[i] = newPoolFor(fmt.Sprintf("entry-%d", i), v)
					}
					var sent []time.Time
					start := time.Now()
					for time.Since(start) < length {
						time.Sleep(10 * time.Millisecond)
						for _, p := range pools {
							q := &Query{Service: "plain", Tried: map[string]bool{}}
							c, unavailable := p.Pick(q)
							if c == nil {
								check.True(unavailable.RetryAfter > 0)
								continue
							}
							ticket, _ := p.Begin(c, q)
							if ticket == nil {
								continue
							}
							ticket.HeadersReceived(fleet.ResponseAttributes{RateLimit: limit})
							ticket.End(Served)
							sent = append(sent, time.Now())
						}
					}
					inForce, first := 0, 0
					for i, at := range sent {
						// Before that, instances still learn of the limit.
						if at.Before(start.Add(time.Second)) {
							first = i + 1
							continue
						}
						inForce++
						for at.Sub(sent[first]) >= window {
							first++
						}
						check.True(float64(i-first+1) <= 1.5*limit*window.Seconds()+5)
					}
					check.True(float64(inForce) >= 0.4*limit*(length-time.Second).Seconds()-1)
				})
			})
		}
	}
}
