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

// TestStoreReplica guards against a model that has become busy but stays at the
// few engines that had it before, and against loads from the weight store for a
// model under low load or one that an engine has on disk.
func TestStoreReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(4, 1))
		report := func(onDisk ...string) {
			for i := range 4 {
				h := &fleet.Holdings{Adapters: map[string][]string{"d": nil, "r": nil}, OnDisk: onDisk}
				if i == 0 {
					h.Adapters["m"] = nil
				}
				p.UpdateAgentState(fmt.Sprintf("i-%d", i), &agentapi.State{Reachable: true, StartedAtMS: 1, Holdings: h}, time.Now())
			}
		}
		request := func(n int) {
			q := engineQuery("m", "")
			q.TokensIn = 9000
			for range n {
				p.RecordRequest(q)
			}
		}
		report()
		request(5)
		check.Equal(len(p.StoreLoads()), 0)
		request(60)
		report("m")
		check.Equal(len(p.StoreLoads()), 0) // loading from disk is enough
		report()
		got := p.StoreLoads()
		check.Equal(len(got), 1)
		check.Equal(got[0].Model, "m")
		check.True(got[0].Agents[0] != "10.0.0.1:2") // i-0 already has it
		check.True(got[0].Demand > 10)
	})
}

// TestStoreLoads guards against a model that is loaded from the weight store
// only when its first request waits, and against loads of models that an engine
// may have whose agent has not reported.
func TestStoreLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(3, 1))
		check.Equal(len(p.StoreLoads()), 0) // no agent has reported
		for i := range 3 {
			st := &agentapi.State{Reachable: true, StartedAtMS: 1, Holdings: &fleet.Holdings{Adapters: map[string][]string{"m": nil}}}
			if i == 2 {
				st.Holdings.OnDisk = []string{"d"}
			}
			p.UpdateAgentState(fmt.Sprintf("i-%d", i), st, time.Now())
		}
		got := p.StoreLoads()
		check.Equal(len(got), 1)
		check.Equal(got[0].Model, "r")
		p.UpdateAgentState("i-1", &agentapi.State{Reachable: true, StartedAtMS: 1, Loading: "r", Holdings: &fleet.Holdings{}}, time.Now())
		check.Equal(len(p.StoreLoads()), 0)
		// The engine with the only copy crashes and returns with its disk.
		p.UpdateAgentState("i-2", &agentapi.State{Reachable: true, StartedAtMS: 2, Holdings: &fleet.Holdings{}}, time.Now())
		check.Equal(len(p.StoreLoads()), 0)
		time.Sleep(noCopyGrace + time.Millisecond)
		for i := range 3 {
			p.UpdateAgentState(fmt.Sprintf("i-%d", i), &agentapi.State{Reachable: true, StartedAtMS: 1, Holdings: &fleet.Holdings{}}, time.Now())
		}
		check.True(len(p.StoreLoads()) > 0)
	})
}

// storeLoadSim simulates engines that load from a weight store, which serves
// fullSpeedLoads loads at full speed, and entry instances that decide on these
// loads. step advances it and returns the number of loads that were running.
type storeLoadSim struct {
	pools          []*Pool
	engines        int
	fullSpeedLoads float64
	remaining      []time.Duration
	startedAt      []time.Time
	loading        []string
	loaded         []map[string][]string
	slowdown       []float64
}

func newStoreLoadSim(n, entries, models int, fullSpeedLoads float64) *storeLoadSim {
	sim := &storeLoadSim{engines: n, fullSpeedLoads: fullSpeedLoads, remaining: make([]time.Duration, n), startedAt: make([]time.Time, n), loading: make([]string, n), loaded: make([]map[string][]string, n), slowdown: make([]float64, n)}
	v := testView(n, entries)
	spec := v.Config.Services["e"].Engine
	for m := range spec.Models {
		delete(spec.Models, m)
	}
	for i := range models {
		name := fmt.Sprintf("s%d", i)
		spec.Models[name] = fleet.Model{Name: name, StoreLoadTime: 8 * time.Second}
	}
	for i := range n {
		sim.loaded[i] = map[string][]string{}
	}
	for i := range entries {
		sim.pools = append(sim.pools, newPoolFor(fmt.Sprintf("entry-%d", i), v))
	}
	return sim
}

func (sim *storeLoadSim) step(d time.Duration) int {
	running := 0
	for _, m := range sim.loading {
		if m != "" {
			running++
		}
	}
	for i, m := range sim.loading {
		if m == "" {
			continue
		}
		sim.remaining[i] -= time.Duration(float64(d) * min(1, sim.fullSpeedLoads/float64(running)))
		if sim.remaining[i] <= 0 {
			sim.loaded[i][m], sim.loading[i] = nil, ""
			sim.slowdown[i] = time.Since(sim.startedAt[i]).Seconds() / 8
		}
	}
	for _, p := range sim.pools {
		for i := range sim.engines {
			p.UpdateAgentState(fmt.Sprintf("i-%d", i), &agentapi.State{Reachable: true, StartedAtMS: 1, Loading: sim.loading[i], LoadingFromStore: sim.loading[i] != "", StoreSlowdown: sim.slowdown[i], Holdings: &fleet.Holdings{Adapters: sim.loaded[i]}}, time.Now())
		}
	}
	for _, p := range sim.pools {
		for _, u := range p.StoreLoads() {
			var i int
			_, _ = fmt.Sscanf(u.Agents[0], "10.0.0.%d:2", &i)
			if i--; sim.loading[i] == "" {
				sim.loading[i], sim.remaining[i], sim.startedAt[i] = u.Model, 8*time.Second, time.Now()
			}
		}
	}
	time.Sleep(d)
	return running
}

// TestStoreLoadConcurrency guards against the loss of many engines making all
// others load from the weight store for a minute, and against leaving capacity
// unused if the store serves more loads at once.
func TestStoreLoadConcurrency(t *testing.T) {
	for _, fullSpeedLoads := range []int{1, 2, 4, 8} {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			sim := newStoreLoadSim(40, 22, 30, float64(fullSpeedLoads))
			maxRunning, loadedModels := 0, 0
			const span, step = 120 * time.Second, 125 * time.Millisecond
			for range span / step {
				running := sim.step(step)
				maxRunning = max(maxRunning, running)
			}
			for _, h := range sim.loaded {
				loadedModels += len(h)
			}
			t.Log(fullSpeedLoads, maxRunning, loadedModels)
			check.True(maxRunning <= max(initialStoreLimit, fullSpeedLoads)+1)
			// Full speed from the second load on, less the time until the limit is
			// learned.
			check.True(loadedModels >= min(30, 6*fullSpeedLoads+fullSpeedLoads))
		})
	}
}

// TestStoreLoadsWithUnreported has a fleet in which the agent of one engine does not
// report. It guards against a fleet in which no model is loaded from the weight store for
// as long as that lasts, and against loading what only that engine has.
func TestStoreLoadsWithUnreported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(16, 1)
		v.Config.Services["e"].Engine.Models["s"] = fleet.Model{Name: "s", StoreLoadTime: 6 * time.Second}
		v.Upstreams["i-15"].Holdings.OnDisk = []string{"d", "m", "r"}
		p := newPool(v)
		report := func(engines int) {
			for i := range engines {
				h := &fleet.Holdings{Adapters: map[string][]string{"m": nil}, OnDisk: []string{"d", "m"}}
				p.UpdateAgentState(fmt.Sprintf("i-%d", i), &agentapi.State{Reachable: true, StartedAtMS: 1, Holdings: h}, time.Now())
			}
		}
		report(15)
		p.StoreLoads()
		time.Sleep(noCopyGrace + time.Millisecond)
		report(15)
		loads := p.StoreLoads()
		check.Equal(len(loads), 1)
		check.Equal(loads[0].Model, "s")
		check.True(loads[0].Agents[0] != v.Members["a-i-15"].Addr)

		time.Sleep(maxAgentStateAge)
		report(8)
		check.Equal(len(p.StoreLoads()), 0) // too many have not reported
	})
}
