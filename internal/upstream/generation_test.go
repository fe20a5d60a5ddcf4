package upstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestLongStreamsAtFastEngine guards against long streams that are sent to a slow engine because its time to
// the first token is shorter by a little: their events pause longer, and faults cut them off more often.
func TestLongStreamsAtFastEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		_, p := twoEngines()
		now := time.Now()
		for id, interval := range map[string]time.Duration{"i-0": 16 * time.Millisecond, "i-1": 90 * time.Millisecond} {
			for range 50 {
				p.states[id].speed.ObserveEvents(interval, 1, now)
			}
		}
		p.states["i-0"].pendingTokens = 2000 // 50 ms of prompts
		q := engineQuery("m", "")
		q.TokensOut = 300
		c, _ := p.Pick(q)
		check.Equal(c.Upstream.ID, "i-0")
		q.TokensOut = 1
		c, _ = p.Pick(q)
		check.Equal(c.Upstream.ID, "i-1")
	})
}

// TestSpeculativeStoreLoads guards against loads for models that nobody asks for which take all places at the
// weight store: a model that callers asked for then took 25 s to load instead of 10.
func TestSpeculativeStoreLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(16, 1)
		for i := range 6 {
			name := fmt.Sprintf("s%d", i)
			v.Config.Services["e"].Engine.Models[name] = fleet.Model{Name: name, StoreLoadTime: 6 * time.Second}
		}
		p := newPool(v)
		report := func(loading int) {
			for i := range 16 {
				st := &agentapi.State{Reachable: true, StartedAtMS: 1, Holdings: &fleet.Holdings{Adapters: map[string][]string{"m": nil, "d": nil, "r": nil}}}
				if i < loading {
					st.Loading, st.LoadingFromStore = fmt.Sprintf("s%d", i), true
				}
				p.UpdateAgentState(fmt.Sprintf("i-%d", i), st, time.Now())
			}
		}
		report(0)
		p.StoreLoads()
		time.Sleep(noCopyGrace + time.Millisecond)
		report(0)
		p.storeLimitFor("e").learned = 4
		for range 20 {
			p.RecordRequest(engineQuery("m", ""))
		}
		check.Equal(len(p.StoreLoads()), 2) // half of the places
		report(2)
		check.Equal(len(p.StoreLoads()), 0)
		for range 3 {
			p.RecordRequest(engineQuery("s5", ""))
		}
		loads := p.StoreLoads()
		check.Equal(len(loads), 1)
		check.Equal(loads[0].Model, "s5")
		check.Equal(len(loads[0].Agents), maxStoreLoadEngines)
	})
}
