package controlstate_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// parseChanges parses "section/id=value", and "section/id" for a deletion.
func parseChanges(specs ...string) (out []record.EntryChange) {
	for _, s := range specs {
		name, value, _ := strings.Cut(s, "=")
		section, id, _ := strings.Cut(name, "/")
		out = append(out, record.EntryChange{Section: record.Section(section), ID: id, Value: json.RawMessage(value)})
	}
	return out
}

func apply(v *controlstate.View, body record.Body) (*controlstate.View, controlstate.ApplyResult) {
	data, _ := json.Marshal(body)
	return v.Apply(v.Offset+1, record.Envelope{ID: fmt.Sprint(v.Offset), Kind: body.Kind(), Body: data})
}

func baseView(t *testing.T) *controlstate.View {
	v, result := apply(controlstate.Empty(), record.ConfigChange{Changes: parseChanges(
		`keys/k={"team":"t","sha256":"s"}`, `teams/t={"rate_tokens_per_s":5,"burst_tokens":5}`,
		`pools/p={"kind":"engine"}`, `pools/q={"kind":"service"}`, `routes/r={"pool":"q"}`,
		`models/m={"pool":"p","max_replicas":2}`, `adapters/a={"model":"m","max_replicas":3}`,
	)})
	is.New(t).True(result.Applied) // order within one change does not matter
	for i := range 4 {
		v, _ = apply(v, record.MemberJoin{Instance: fmt.Sprint("g", i), Incarnation: "x", Role: record.RoleAgent})
	}
	v, _ = apply(v, record.MemberJoin{Instance: "e", Incarnation: "x", Role: record.RoleEntry})
	return v
}

// TestConfigReferences guards against a config change that leaves a dangling
// reference: the whole change must be rejected.
func TestConfigReferences(t *testing.T) {
	for _, c := range []struct {
		name  string
		specs []string
		ok    bool
	}{
		{"key of unknown team", []string{`keys/n={"team":"u","sha256":"n"}`}, false},
		{"key and its team added together", []string{`keys/n={"team":"u","sha256":"n"}`, `teams/u={}`}, true},
		{"second key with the same digest", []string{`keys/n={"team":"t","sha256":"s"}`}, false},
		{"key written again unchanged", []string{`keys/k={"team":"t","sha256":"s"}`}, true},
		{"burst below one second of the rate", []string{`teams/t={"rate_tokens_per_s":5,"burst_tokens":4}`}, false},
		{"adapter of unknown model", []string{`adapters/n={"model":"u"}`}, false},
		{"model of unknown pool", []string{`models/n={"pool":"u"}`}, false},
		{"route of unknown pool", []string{`routes/n={"pool":"u"}`}, false},
		{"team with a key deleted", []string{`teams/t`}, false},
		{"team and its key deleted", []string{`teams/t`, `keys/k`}, true},
		{"pool with a model deleted", []string{`pools/p`}, false},
		{"pool with a route deleted", []string{`pools/q`}, false},
		{"model with an adapter deleted", []string{`models/m`}, false},
		{"model and its adapter deleted", []string{`models/m`, `adapters/a`}, true},
		{"no id", []string{`teams/={}`}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := baseView(t)
			next, result := apply(v, record.ConfigChange{Base: v.ConfigVersion, Changes: parseChanges(c.specs...)})
			is.Equal(result.Applied, c.ok)
			is.Equal(next.ConfigVersion > v.ConfigVersion, c.ok)
			is.True(c.ok || (next.Keys == v.Keys && next.Teams == v.Teams)) // a rejected change has no effect
		})
	}
}

// TestHomes guards H1: homes are distinct live agents and no more than the
// maximum of replicas. Removing homes is always allowed.
func TestHomes(t *testing.T) {
	is := is.New(t)
	v := baseView(t)
	refs := func(names ...string) (out []record.InstanceRef) {
		for _, n := range names {
			out = append(out, record.InstanceRef{Instance: n, Incarnation: "x"})
		}
		return out
	}
	set := func(checkpoint string, names ...string) bool {
		h, _ := v.Homes.Get(checkpoint)
		next, result := apply(v, record.PlaceHomes{Entries: []record.HomeAssignment{{Checkpoint: checkpoint, Base: h.Offset, Homes: refs(names...)}}})
		v = next
		return result.Applied
	}
	is.True(!set("m", "g0", "g0"))       // listed twice
	is.True(!set("m", "e"))              // an entry instance
	is.True(!set("m", "g0", "g1", "g2")) // over the maximum
	is.True(!set("other:a", "g0"))       // adapter of another model
	is.True(set("m:a", "g0", "g1", "g2"))
	v, _ = apply(v, record.ConfigChange{Base: v.ConfigVersion, Changes: parseChanges(`adapters/a={"model":"m","max_replicas":1}`)})
	is.True(set("m:a", "g0"))        // homes above a lowered maximum can be removed
	is.True(!set("m:a", "g0", "g3")) // but none can be added
	h, _ := v.Homes.Get("m:a")
	is.Equal(len(h.Releasing), 2)
}
