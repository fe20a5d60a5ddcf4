package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// reportHoldings makes an engine's agent report what it has loaded and on disk.
func reportHoldings(p *Pool, id string, draining bool, loaded, onDisk []string) {
	h := &fleet.Holdings{Adapters: map[string][]string{}, OnDisk: onDisk}
	for _, m := range loaded {
		h.Adapters[m] = nil
	}
	p.UpdateAgentState(id, &agentapi.State{Reachable: true, StartedAtMS: 1, Holdings: h, Draining: draining}, time.Now())
}

// displacementView has three engines with room for one model each.
func displacementView() *fleet.View {
	v := testView(3, 1)
	e := v.Config.Services["e"].Engine
	for name, m := range e.Models {
		m.WeightsMB = 80
		e.Models[name] = m
	}
	e.Models["new"] = fleet.Model{Name: "new", WeightsMB: 80, StoreLoadTime: 6 * time.Second}
	return v
}

// TestStoreLoadAtEngineWithOnlyCopies guards against a load from the weight store at the engine that alone
// has some models, while another engine has none that would be missing.
func TestStoreLoadAtEngineWithOnlyCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(displacementView())
		reportHoldings(p, "i-0", false, []string{"m"}, []string{"m"})
		reportHoldings(p, "i-1", false, []string{"d"}, []string{"d", "r"})
		reportHoldings(p, "i-2", false, []string{"d"}, []string{"d"})
		loads := p.StoreLoads()
		check.Equal(len(loads), 1)
		check.Equal(loads[0].Model, "new")
		check.Equal(loads[0].Agents[0], "10.0.0.3:2") // m and r are nowhere else
	})
}

// TestModelOfLeavingEngine guards against a model that is missing for seconds because its only engine had
// announced its end and nobody loaded the model elsewhere until it was gone.
func TestModelOfLeavingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(displacementView())
		report := func(draining bool) {
			reportHoldings(p, "i-0", draining, []string{"m"}, []string{"m", "new", "r"})
			reportHoldings(p, "i-1", false, []string{"d"}, []string{"d", "new", "r"})
			reportHoldings(p, "i-2", false, []string{"d"}, []string{"d", "new", "r"})
		}
		report(false)
		check.Equal(len(p.StoreLoads()), 0)
		time.Sleep(storeSlot)
		report(true)
		loads := p.StoreLoads()
		check.Equal(len(loads), 1)
		check.Equal(loads[0].Model, "m")
		check.True(loads[0].Agents[0] != "10.0.0.1:2")
	})
}
