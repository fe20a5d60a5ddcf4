package modelplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLastCopyDisplaced guards against a load from the weight store that displaces the only copy of
// another model: on a day with more models than places, the model that was asked for most an instant
// later had been displaced for one that nobody asked for, and was missing for 25 s.
func TestLastCopyDisplaced(t *testing.T) {
	old := now.Add(-time.Minute)
	for name, tt := range map[string]struct {
		usage  map[string]Usage
		demand float64
		victim string
	}{
		"nobody asks for the new model":         {map[string]Usage{"a": {LoadedAt: old}, "b": {LoadedAt: old}, "c": {LoadedAt: old}}, 0.5, ""},
		"a copy elsewhere":                      {map[string]Usage{"a": {LoadedAt: old}, "b": {LoadedAt: old, Elsewhere: 1, Demand: 0.1}, "c": {LoadedAt: old}}, 0.5, "b"},
		"the new model is asked for":            {map[string]Usage{"a": {LoadedAt: old, Demand: 1}, "b": {LoadedAt: old, Demand: 2}, "c": {LoadedAt: old, Demand: 0.1}}, 3, "c"},
		"both are asked for":                    {map[string]Usage{"a": {LoadedAt: old, Demand: 1}, "b": {LoadedAt: old, Demand: 1}, "c": {LoadedAt: old, Demand: 1}}, 4, ""},
		"a copy elsewhere before the only copy": {map[string]Usage{"a": {LoadedAt: old}, "b": {LoadedAt: old, Elsewhere: 2, Demand: 2}, "c": {LoadedAt: old}}, 9, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			// The copies on the disk may make place for the new one.
			h := holdings("a", "b", "c")
			h.OnDisk = []string{"a", "b", "c"}
			got := Next(Input{Now: now, Engine: engine("a", "b", "c", "d"), Holdings: h, Usage: tt.usage, StoreAllowed: true, LoadRequests: []LoadRequest{{Model: "d", Since: old, Demand: tt.demand}}})
			check.Equal(got.Kind != None, tt.victim != "")
			check.Equal(got.Model, tt.victim)
		})
	}
}
