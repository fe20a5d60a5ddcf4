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

// TestStoreReplica guards against a model that has become busy and stays at the
// few engines that had it before, and against such loads in calm use or while an
// engine has it on disk.
func TestStoreReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(4, 1))
		hear := func(onDisk ...string) {
			for i := range 4 {
				h := &fleet.Holdings{Adapters: map[string][]string{"d": nil, "r": nil}, OnDisk: onDisk}
				if i == 0 {
					h.Adapters["m"] = nil
				}
				p.Heard(fmt.Sprintf("i-%d", i), &agentapi.State{Known: true, Born: 1, Holdings: h})
			}
		}
		ask := func(n int) {
			q := engineQuery("m", "")
			q.TokensIn = 9000
			for range n {
				p.Asked(q)
			}
		}
		hear()
		ask(5)
		check.Equal(len(p.StoreLoads()), 0)
		ask(60)
		hear("m")
		check.Equal(len(p.StoreLoads()), 0) // a load from disk will do
		hear()
		got := p.StoreLoads()
		check.Equal(len(got), 1)
		check.Equal(got[0].Model, "m")
		check.True(got[0].AgentAddr != "10.0.0.1:2") // has it
		check.True(got[0].Worth > 10)
	})
}

// TestStoreLoads guards against a model whose first request waits for the weight
// store, and against loads of models that a silent agent may have.
func TestStoreLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(3, 1))
		check.Equal(len(p.StoreLoads()), 0) // no agent was heard
		for i := range 3 {
			st := &agentapi.State{Known: true, Born: 1, Holdings: &fleet.Holdings{Adapters: map[string][]string{"m": nil}}}
			if i == 2 {
				st.Holdings.OnDisk = []string{"d"}
			}
			p.Heard(fmt.Sprintf("i-%d", i), st)
		}
		got := p.StoreLoads()
		check.Equal(len(got), 1)
		check.Equal(got[0].Model, "r")
		p.Heard("i-1", &agentapi.State{Known: true, Born: 1, Loading: "r", Holdings: &fleet.Holdings{}})
		check.Equal(len(p.StoreLoads()), 0)
		// The engine with the only copy crashes and is back with its disk.
		p.Heard("i-2", &agentapi.State{Known: true, Born: 2, Holdings: &fleet.Holdings{}})
		check.Equal(len(p.StoreLoads()), 0)
		time.Sleep(lostGrace + time.Millisecond)
		for i := range 3 {
			p.Heard(fmt.Sprintf("i-%d", i), &agentapi.State{Known: true, Born: 1, Holdings: &fleet.Holdings{}})
		}
		check.True(len(p.StoreLoads()) > 0)
	})
}

// fleetOfStore has n engines that load from the weight store one after the
// other, and entries that decide on these loads. run plays a time in steps and
// returns the most loads at once and the models loaded.
type fleetOfStore struct {
	pools  []*Pool
	n      int
	atOnce float64
	left   []time.Duration
	began  []time.Time
	doing  []string
	has    []map[string][]string
	slow   []float64
}

func newFleetOfStore(n, entries, models int, atOnce float64) *fleetOfStore {
	f := &fleetOfStore{n: n, atOnce: atOnce, left: make([]time.Duration, n), began: make([]time.Time, n), doing: make([]string, n), has: make([]map[string][]string, n), slow: make([]float64, n)}
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
		f.has[i] = map[string][]string{}
	}
	for i := range entries {
		f.pools = append(f.pools, newPoolOf(fmt.Sprintf("entry-%d", i), v))
	}
	return f
}

func (f *fleetOfStore) step(d time.Duration) int {
	running := 0
	for _, m := range f.doing {
		if m != "" {
			running++
		}
	}
	for i, m := range f.doing {
		if m == "" {
			continue
		}
		f.left[i] -= time.Duration(float64(d) * min(1, f.atOnce/float64(running)))
		if f.left[i] <= 0 {
			f.has[i][m], f.doing[i] = nil, ""
			f.slow[i] = time.Since(f.began[i]).Seconds() / 8
		}
	}
	for _, p := range f.pools {
		for i := range f.n {
			p.Heard(fmt.Sprintf("i-%d", i), &agentapi.State{Known: true, Born: 1, Loading: f.doing[i], StoreLoad: f.doing[i] != "", StoreSlowdown: f.slow[i], Holdings: &fleet.Holdings{Adapters: f.has[i]}})
		}
	}
	for _, p := range f.pools {
		for _, u := range p.StoreLoads() {
			var i int
			_, _ = fmt.Sscanf(u.AgentAddr, "10.0.0.%d:2", &i)
			if i--; f.doing[i] == "" {
				f.doing[i], f.left[i], f.began[i] = u.Model, 8*time.Second, time.Now()
			}
		}
	}
	time.Sleep(d)
	return running
}

// TestStoreLoadsAtOnce guards against the loss of many engines turning all others
// into engines that load from the weight store for a minute, and against a store
// that serves more at once being left idle.
func TestStoreLoadsAtOnce(t *testing.T) {
	for _, atOnce := range []int{1, 2, 4, 8} {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			f := newFleetOfStore(40, 22, 30, float64(atOnce))
			most, loaded := 0, 0
			const span, step = 120 * time.Second, 125 * time.Millisecond
			for range span / step {
				running := f.step(step)
				most = max(most, running)
			}
			for _, h := range f.has {
				loaded += len(h)
			}
			check.True(most <= max(firstStoreLimit, atOnce)+1)
			// Full speed from the second load on, less the time until the limit is learned.
			check.True(loaded >= min(30, 6*atOnce+atOnce))
		})
	}
}
