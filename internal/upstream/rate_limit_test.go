package upstream

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
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
								check.True(unavailable.RetryAfter() > 0)
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

// limitedFleet is a pool in which i-0, which alone has model m loaded, names a limit of one
// request a second, and so does i-1. All but i-3 have the model on their disks if onDisk is
// set.
func limitedFleet(onDisk bool) *Pool {
	p := newPool(testView(4, 1))
	for i := range 4 {
		st := &agentapi.State{Reachable: true, StartedAtMS: 1, Holdings: &fleet.Holdings{Adapters: map[string][]string{"d": nil, "r": nil}}}
		if i == 0 {
			st.Holdings.Adapters["m"] = nil
		}
		if i < 2 {
			st.RateLimit = 1
		}
		if onDisk && i < 3 {
			st.Holdings.OnDisk = []string{"m"}
		}
		p.UpdateAgentState(fmt.Sprintf("i-%d", i), st, time.Now())
	}
	return p
}

// TestDemandAboveLimits guards against requests that are refused, or wait for a load from
// the weight store, although a limit has room soon, and against requests that wait for a
// limit although another engine can load the model sooner.
func TestDemandAboveLimits(t *testing.T) {
	for name, row := range map[string]struct {
		permitIn time.Duration
		onDisk   bool
		// queue and load are the engines at which the request waits.
		queue, load string
	}{
		"limit has room soon":                {300 * time.Millisecond, true, "i-0", ""},
		"another engine is ready sooner":     {5 * time.Second, true, "", "i-2"},
		"limit has room before a store load": {2 * time.Second, false, "i-0", ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				p := limitedFleet(row.onDisk)
				q := engineQuery("m", "")
				c, _ := p.Pick(q)
				check.True(c.NeedsPermit && c.RateLimit == 1 && !c.Cold)
				p.PermitRefused("i-0", row.permitIn, false)
				c, unavailable := p.Pick(q)
				if row.load != "" {
					check.Equal(c.Upstream.ID, row.load)
					check.True(c.NeedsLoad)
					return
				}
				check.True(c == nil)
				limit, ok := unavailable.Obstacle.(AtLimit)
				check.True(ok) // not LoadPending
				check.Equal(limit.RetryAfter, row.permitIn)
				check.Equal(limit.Queue.Upstream.ID, row.queue)
			})
		})
	}
}

// TestCopyForLimitedModel guards against a model whose engines name limits below its demand
// and that is loaded nowhere else, or on an engine that names a limit too.
func TestCopyForLimitedModel(t *testing.T) {
	t.Run("from a disk", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			p := limitedFleet(true)
			q := engineQuery("m", "")
			q.TokensIn = 10
			p.RecordRequest(q)
			c, _ := p.Pick(q)
			check.True(c.Replica == nil) // the limit suffices
			for range 40 {
				p.RecordRequest(q)
			}
			c, _ = p.Pick(q)
			check.True(c.Replica != nil)
			check.Equal(c.Replica.Upstream.ID, "i-2")
		})
	})
	t.Run("from the weight store", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			p := limitedFleet(false)
			q := engineQuery("m", "")
			q.TokensIn = 10
			p.RecordRequest(q)
			check.Equal(len(p.StoreLoads()), 0)
			for range 40 {
				p.RecordRequest(q)
			}
			for range 4 { // the reports of the agents are current for that long
				loads := p.StoreLoads()
				check.Equal(len(loads), 1)
				check.Equal(loads[0].Model, "m")
				check.True(loads[0].Agents[0] == "10.0.0.3:2" || loads[0].Agents[0] == "10.0.0.4:2") // i-2 or i-3
				time.Sleep(storeSlot)
			}
		})
	})
}
