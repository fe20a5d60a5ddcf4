package modelplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// sizedEngine is an engine of 83 GB for models of unequal sizes.
func sizedEngine(diskMB float64) *fleet.Engine {
	e := &fleet.Engine{MemoryMB: 83, DiskMB: diskMB, MaxAdapters: 8, Models: make(map[string]fleet.Model)}
	for name, mb := range map[string]float64{"small": 16, "small2": 16, "large": 34, "large2": 34, "large3": 34} {
		e.Models[name] = fleet.Model{Name: name, WeightsMB: mb}
	}
	return e
}

// TestSmallModelLoadedAgain guards against an engine that unloads a small model for a large one, finds that
// the memory does not suffice, loads the small one again, and so on: one model was loaded 18 times in 14 s
// while callers waited for the other.
func TestSmallModelLoadedAgain(t *testing.T) {
	check := is.New(t)
	h := holdings("small", "large", "large2")
	h.OnDisk = []string{"small", "large", "large2", "large3"}
	e := sizedEngine(0)
	e.MemoryMB = 85 // without the small model, it fits again
	in := Input{Now: now, Engine: e, Holdings: h, LoadRequests: []LoadRequest{{Model: "large3", Waiting: 1, Since: now.Add(-100 * time.Millisecond)}, {Model: "small", Demand: 5, Since: now}}}
	// The large models have running requests and may not be unloaded yet.
	in.Usage = map[string]Usage{"large": {InFlight: 1, Demand: 1}, "large2": {InFlight: 1, Demand: 2}}
	loads := 0
	for range 20 {
		switch a := Next(in); a.Kind {
		case Load:
			loads++
			h.Adapters[a.Model] = nil
		case Unload:
			delete(h.Adapters, a.Model)
		case None:
		}
	}
	check.Equal(loads, 0)
	// After the grace period, a large model makes room.
	in.Now = now.Add(busyModelGrace)
	check.Equal(Next(in).Model, "large")
	delete(h.Adapters, "large")
	check.Equal(Next(in), Action{Kind: Load, Model: "large3", Reason: "enough free memory"})
}

// TestVictimsThatSuffice guards against models that are unloaded although one other would free enough.
func TestVictimsThatSuffice(t *testing.T) {
	check := is.New(t)
	h := holdings("small", "large", "small2")
	h.OnDisk = []string{"large2"}
	old := now.Add(-time.Minute)
	in := Input{Now: now, Engine: sizedEngine(0), Holdings: h, LoadRequests: []LoadRequest{{Model: "large2", Waiting: 1, Since: now}}}
	in.Usage = map[string]Usage{"small": {LoadedAt: old, Demand: 1}, "large": {LoadedAt: old, Demand: 2}, "small2": {LoadedAt: old, Demand: 3}}
	check.Equal(Next(in).Model, "large")
	// A background load displaces nothing if it cannot have enough.
	in.LoadRequests[0].Waiting, in.LoadRequests[0].Demand = 0, 2
	check.Equal(Next(in).Kind, None)
}

// TestLastCopyStaysOnDisk guards against places that a load from the weight store cannot use although the
// models there stay on the engine's disk.
func TestLastCopyStaysOnDisk(t *testing.T) {
	for diskMB, want := range map[float64]Kind{0: None, 100: None, 200: Unload} {
		check := is.New(t)
		h := holdings("large", "large2")
		h.OnDisk = []string{"large", "large2"}
		in := Input{Now: now, Engine: sizedEngine(diskMB), Holdings: h, StoreAllowed: true, LoadRequests: []LoadRequest{{Model: "large3", Demand: 0.5, Since: now}}}
		in.Usage = map[string]Usage{"large": {LoadedAt: now.Add(-time.Minute)}, "large2": {LoadedAt: now.Add(-time.Minute)}}
		check.Equal(Next(in).Kind, want)
	}
}
