package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engine(models ...string) *fleet.Engine {
	e := &fleet.Engine{WeightsMB: 220, MaxAdapters: 8, Models: make(map[string]fleet.Model)}
	for _, m := range models {
		e.Models[m] = fleet.Model{Name: m, WeightsMB: 70, AdapterMB: 1}
	}
	return e
}

func holds(models ...string) *fleet.Holdings {
	h := &fleet.Holdings{Adapters: make(map[string][]string)}
	for _, m := range models {
		h.Adapters[m] = nil
	}
	return h
}

// TestNext guards the choice of the next order: the failure of each row is the
// order that its name rules out.
func TestNext(t *testing.T) {
	old := now.Add(-time.Minute)
	calm := map[string]Usage{
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
		{"no order without a want", Input{Holdings: holds("a", "b", "c")}, None, "", nil},
		{"no order for what is held", Input{Holdings: holds("a"), LoadRequests: []LoadRequest{{Model: "a", Waiting: 1}}}, None, "", nil},
		{"no load of an unknown model", Input{Holdings: holds("a"), LoadRequests: []LoadRequest{{Model: "x", Waiting: 1}}}, None, "", nil},
		{"no displacement while there is room", Input{Holdings: holds("a", "b"), LoadRequests: []LoadRequest{{Model: "d", Waiting: 1}}}, Load, "d", []string{"d"}},
		{"no load before there is room", Input{Holdings: holds("a", "b", "c"), Usage: calm, LoadRequests: []LoadRequest{{Model: "d", Waiting: 1}}}, Unload, "b", []string{"d"}},
		{"no load from the store beyond its rate", Input{Holdings: holds("a"), LoadRequests: []LoadRequest{{Model: "d", Demand: 1}}}, None, "", nil},
		{"no displacement for a load that may not begin", Input{Holdings: holds("a", "b", "c"), Usage: calm, LoadRequests: []LoadRequest{{Model: "d", Waiting: 1, Demand: 9}}}, None, "", nil},
		{"no load from the store for a request alone", Input{Holdings: holds("a"), StoreAllowed: true, LoadRequests: []LoadRequest{{Model: "d", Waiting: 1}}}, None, "", nil},
		{"no request that keeps back a load from the store", Input{Holdings: holds("a"), StoreAllowed: true, LoadRequests: []LoadRequest{{Model: "d", Waiting: 1, Demand: 1}}}, Load, "d", nil},
		{"no background load before a request", Input{
			Holdings: holds("a", "b"), LoadRequests: []LoadRequest{{Model: "d", Since: old}, {Model: "e", Since: now, Waiting: 1}},
		}, Load, "e", []string{"d", "e"}},
		{"no displacement of models that carry as much for a background load", Input{Holdings: holds("a", "b", "c"), Usage: calm, LoadRequests: []LoadRequest{{Model: "d", Demand: 1}}}, None, "", []string{"d"}},
		{"no background load refused for a model that is asked for far more", Input{Holdings: holds("a", "b", "c"), Usage: calm, LoadRequests: []LoadRequest{{Model: "d", Demand: 2}}}, Unload, "b", []string{"d"}},
		{"no displacement of a model that runs while an idle one is there", Input{
			Holdings: holds("a", "b", "c"), Usage: map[string]Usage{
				"a": {Demand: 0, Copies: 1, InFlight: 1, LoadedAt: old}, "b": {Demand: 9, Copies: 1, LoadedAt: old}, "c": {Demand: 8, Copies: 1, LoadedAt: old},
			}, LoadRequests: []LoadRequest{{Model: "d", Since: old, Waiting: 1}},
		}, Unload, "c", []string{"d"}},
		{"no displacement of running models at once", Input{
			Holdings: holds("a", "b", "c"), Usage: map[string]Usage{
				"a": {InFlight: 1, LoadedAt: old}, "b": {InFlight: 1, LoadedAt: old}, "c": {InFlight: 1, LoadedAt: old},
			}, LoadRequests: []LoadRequest{{Model: "d", Since: now, Waiting: 1}},
		}, None, "", []string{"d"}},
		{"no endless wait behind running models", Input{
			Holdings: holds("a", "b", "c"), Usage: map[string]Usage{
				"a": {Demand: 3, InFlight: 1, LoadedAt: old}, "b": {Demand: 1, InFlight: 1, LoadedAt: old}, "c": {Demand: 2, InFlight: 1, LoadedAt: old},
			}, LoadRequests: []LoadRequest{{Model: "d", Since: now.Add(-patience), Waiting: 1}},
		}, Unload, "b", []string{"d"}},
		{"no displacement of what was loaded for a request on its way", Input{
			Holdings: holds("a", "b", "c"), Usage: map[string]Usage{
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

// TestMemory guards against an order that would overcommit the engine's memory
// (H2), for any holdings, sizes and wants.
func TestMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f"}
		e := engine(names...)
		e.WeightsMB = rapid.Float64Range(10, 400).Draw(rt, "memory")
		h := holds()
		used := 0.0
		for _, n := range names {
			m := e.Models[n]
			m.WeightsMB = rapid.Float64Range(1, 150).Draw(rt, "size")
			e.Models[n] = m
			if used+m.WeightsMB <= e.WeightsMB && rapid.Bool().Draw(rt, "held") {
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
			if h.HasModel(a.Model) || used+e.Models[a.Model].WeightsMB > e.WeightsMB+1e-9 {
				rt.Fatalf("load of %s: %.1f used of %.1f", a.Model, used, e.WeightsMB)
			}
		case Unload:
			if !h.HasModel(a.Model) {
				rt.Fatalf("unload of %s, which is not held", a.Model)
			}
		case None:
		}
	})
}
