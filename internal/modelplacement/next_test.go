package modelplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engine(models ...string) *fleet.Engine {
	e := &fleet.Engine{MemoryMB: 220, MaxAdapters: 8, Models: make(map[string]fleet.Model)}
	for _, m := range models {
		e.Models[m] = fleet.Model{Name: m, WeightsMB: 70, AdapterMB: 1}
	}
	return e
}

func holdings(models ...string) *fleet.Holdings {
	h := &fleet.Holdings{Adapters: make(map[string][]string)}
	for _, m := range models {
		h.Adapters[m] = nil
	}
	return h
}

// TestNext guards the choice of the next action. The name of each row states
// the rule that it checks.
func TestNext(t *testing.T) {
	old := now.Add(-time.Minute)
	usage := map[string]Usage{
		"a": {Demand: 5, Copies: 1, LastUsed: now, LoadedAt: old},
		"b": {Demand: 3, Copies: 3, LastUsed: now, LoadedAt: old},
		"c": {Demand: 2, Copies: 1, LastUsed: old, LoadedAt: old},
	}
	for _, row := range []struct {
		name   string
		in     Input
		kind   Kind
		model  string
		onDisk []string
	}{
		{"no action without load requests", Input{Holdings: holdings("a", "b", "c")}, None, "", nil},
		{"no action for a loaded model", Input{Holdings: holdings("a"), LoadRequests: []LoadRequest{{Model: "a", Waiting: 1}}}, None, "", nil},
		{"no action for an unknown model", Input{Holdings: holdings("a"), LoadRequests: []LoadRequest{{Model: "x", Waiting: 1}}}, None, "", nil},
		{"load without unload while memory is free", Input{Holdings: holdings("a", "b"), LoadRequests: []LoadRequest{{Model: "d", Waiting: 1}}}, Load, "d", []string{"d"}},
		{"unload before load when memory is full", Input{Holdings: holdings("a", "b", "c"), Usage: usage, LoadRequests: []LoadRequest{{Model: "d", Waiting: 1}}}, Unload, "b", []string{"d"}},
		{"no store load while not allowed", Input{Holdings: holdings("a"), LoadRequests: []LoadRequest{{Model: "d", Demand: 1}}}, None, "", nil},
		{"no unload for a load that may not start", Input{Holdings: holdings("a", "b", "c"), Usage: usage, LoadRequests: []LoadRequest{{Model: "d", Waiting: 1, Demand: 9}}}, None, "", nil},
		{"no store load for a waiting request alone", Input{Holdings: holdings("a"), StoreAllowed: true, LoadRequests: []LoadRequest{{Model: "d", Waiting: 1}}}, None, "", nil},
		{"store load although a request waits too", Input{Holdings: holdings("a"), StoreAllowed: true, LoadRequests: []LoadRequest{{Model: "d", Waiting: 1, Demand: 1}}}, Load, "d", nil},
		{"waiting request before background load", Input{
			Holdings: holdings("a", "b"), LoadRequests: []LoadRequest{{Model: "d", Since: old}, {Model: "e", Since: now, Waiting: 1}},
		}, Load, "e", []string{"d", "e"}},
		{"no unload of models with similar demand for a background load", Input{Holdings: holdings("a", "b", "c"), Usage: usage, LoadRequests: []LoadRequest{{Model: "d", Demand: 1}}}, None, "", []string{"d"}},
		{"unload for a background load with far higher demand", Input{Holdings: holdings("a", "b", "c"), Usage: usage, LoadRequests: []LoadRequest{{Model: "d", Demand: 2}}}, Unload, "b", []string{"d"}},
		{"idle model unloaded before a running one", Input{
			Holdings: holdings("a", "b", "c"), Usage: map[string]Usage{
				"a": {Demand: 0, Copies: 1, InFlight: 1, LoadedAt: old}, "b": {Demand: 9, Copies: 1, LoadedAt: old}, "c": {Demand: 8, Copies: 1, LoadedAt: old},
			}, LoadRequests: []LoadRequest{{Model: "d", Since: old, Waiting: 1}},
		}, Unload, "c", []string{"d"}},
		{"running models kept at first", Input{
			Holdings: holdings("a", "b", "c"), Usage: map[string]Usage{
				"a": {InFlight: 1, LoadedAt: old}, "b": {InFlight: 1, LoadedAt: old}, "c": {InFlight: 1, LoadedAt: old},
			}, LoadRequests: []LoadRequest{{Model: "d", Since: now, Waiting: 1}},
		}, None, "", []string{"d"}},
		{"running model unloaded after the grace period", Input{
			Holdings: holdings("a", "b", "c"), Usage: map[string]Usage{
				"a": {Demand: 3, InFlight: 1, LoadedAt: old}, "b": {Demand: 1, InFlight: 1, LoadedAt: old}, "c": {Demand: 2, InFlight: 1, LoadedAt: old},
			}, LoadRequests: []LoadRequest{{Model: "d", Since: now.Add(-busyModelGrace), Waiting: 1}},
		}, Unload, "b", []string{"d"}},
		{"model kept that was loaded for a request on its way", Input{
			Holdings: holdings("a", "b", "c"), Usage: map[string]Usage{
				"a": {Demand: 0, LoadedAt: now.Add(-time.Second), LastUsed: now}, "b": {Demand: 4, LoadedAt: old}, "c": {Demand: 5, LoadedAt: old},
			}, LoadRequests: []LoadRequest{{Model: "d", Since: old, Waiting: 1}},
		}, Unload, "b", []string{"d"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			row.in.Now, row.in.Engine = now, engine("a", "b", "c", "d", "e")
			row.in.Holdings.OnDisk = row.onDisk
			got := Next(row.in)
			check.Equal(got.Kind, row.kind)
			check.Equal(got.Model, row.model)
		})
	}
}

// TestNoMemoryOvercommit guards against an order that would overcommit the
// engine's memory (H2), for any holdings, sizes and load requests.
func TestNoMemoryOvercommit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f"}
		e := engine(names...)
		e.MemoryMB = rapid.Float64Range(10, 400).Draw(rt, "memory")
		h := holdings()
		used := 0.0
		for _, n := range names {
			m := e.Models[n]
			m.WeightsMB = rapid.Float64Range(1, 150).Draw(rt, "size")
			e.Models[n] = m
			if used+m.WeightsMB <= e.MemoryMB && rapid.Bool().Draw(rt, "held") {
				h.Adapters[n] = nil
				used += m.WeightsMB
			}
		}
		in := Input{Now: now, Engine: e, Holdings: h, StoreAllowed: true}
		for range rapid.IntRange(0, 4).Draw(rt, "wants") {
			in.LoadRequests = append(in.LoadRequests, LoadRequest{Model: rapid.SampledFrom(names).Draw(rt, "want"), Since: now.Add(-time.Minute), Waiting: rapid.IntRange(0, 2).Draw(rt, "waiting")})
		}
		a := Next(in)
		switch a.Kind {
		case Load:
			if h.HasModel(a.Model) || used+e.Models[a.Model].WeightsMB > e.MemoryMB+1e-9 {
				rt.Fatalf("load of %s would overcommit memory: %.1f of %.1f MB used", a.Model, used, e.MemoryMB)
			}
		case Unload:
			if !h.HasModel(a.Model) {
				rt.Fatalf("unload of %s, which is not loaded", a.Model)
			}
		case None:
		}
	})
}
