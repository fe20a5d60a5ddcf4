package fold_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// change parses "section/id=value" and "section/id" for a deletion.
func change(specs ...string) (out []record.EntryChange) {
	for _, s := range specs {
		name, value, _ := strings.Cut(s, "=")
		section, id, _ := strings.Cut(name, "/")
		out = append(out, record.EntryChange{Section: record.Section(section), ID: id, Value: json.RawMessage(value)})
	}
	return out
}

func apply(v *fold.View, body record.Body) (*fold.View, fold.Verdict) {
	data, _ := json.Marshal(body)
	return v.Apply(v.Offset+1, record.Envelope{ID: fmt.Sprint(v.Offset), Kind: body.Kind(), Body: data})
}

func base(t *testing.T) *fold.View {
	v, verdict := apply(fold.Empty(), record.ConfigChange{Changes: change(
		`keys/k={"team":"t","sha256":"s"}`, `teams/t={"rate_tokens_per_s":5,"burst_tokens":5}`,
		`pools/p={"kind":"engine"}`, `pools/q={"kind":"service"}`, `routes/r={"pool":"q"}`,
		`models/m={"pool":"p","max_replicas":2}`, `adapters/a={"model":"m","max_replicas":3}`,
	)})
	is.New(t).True(verdict.Applied) // order within one change does not matter
	for i := range 4 {
		v, _ = apply(v, record.MemberJoin{Instance: fmt.Sprint("g", i), Incarnation: "x", Role: record.RoleAgent})
	}
	v, _ = apply(v, record.MemberJoin{Instance: "e", Incarnation: "x", Role: record.RoleEntry})
	return v
}

// TestConfigCrossChecks guards every instance against a change that leaves a
// dangling reference: it must be void as a whole, everywhere.
func TestConfigCrossChecks(t *testing.T) {
	for _, c := range []struct {
		name  string
		specs []string
		ok    bool
	}{
		{"key of unknown team", []string{`keys/n={"team":"u","sha256":"n"}`}, false},
		{"key of a team added with it", []string{`keys/n={"team":"u","sha256":"n"}`, `teams/u={}`}, true},
		{"second key of one digest", []string{`keys/n={"team":"t","sha256":"s"}`}, false},
		{"key put again", []string{`keys/k={"team":"t","sha256":"s"}`}, true},
		{"burst below a second of the rate", []string{`teams/t={"rate_tokens_per_s":5,"burst_tokens":4}`}, false},
		{"adapter of unknown model", []string{`adapters/n={"model":"u"}`}, false},
		{"model of unknown pool", []string{`models/n={"pool":"u"}`}, false},
		{"route of unknown pool", []string{`routes/n={"pool":"u"}`}, false},
		{"deleted team with a key", []string{`teams/t`}, false},
		{"deleted team and key", []string{`teams/t`, `keys/k`}, true},
		{"deleted pool with a model", []string{`pools/p`}, false},
		{"deleted pool with a route", []string{`pools/q`}, false},
		{"deleted model with an adapter", []string{`models/m`}, false},
		{"deleted model and adapter", []string{`models/m`, `adapters/a`}, true},
		{"no id", []string{`teams/={}`}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := base(t)
			next, verdict := apply(v, record.ConfigChange{Base: v.ConfigVersion, Changes: change(c.specs...)})
			is.Equal(verdict.Applied, c.ok)
			is.Equal(next.ConfigVersion > v.ConfigVersion, c.ok)
			is.True(c.ok || (next.Keys == v.Keys && next.Teams == v.Teams)) // void changes nothing
		})
	}
}

// TestHomes guards H1: homes are distinct live agents within the maximum, and
// taking homes away is always possible.
func TestHomes(t *testing.T) {
	is := is.New(t)
	v := base(t)
	refs := func(names ...string) (out []record.InstanceRef) {
		for _, n := range names {
			out = append(out, record.InstanceRef{Instance: n, Incarnation: "x"})
		}
		return out
	}
	set := func(checkpoint string, names ...string) bool {
		h, _ := v.Homes.Get(checkpoint)
		next, verdict := apply(v, record.PlaceHomes{Entries: []record.HomeAssignment{{Checkpoint: checkpoint, Base: h.Offset, Homes: refs(names...)}}})
		v = next
		return verdict.Applied
	}
	is.True(!set("m", "g0", "g0"))       // twice
	is.True(!set("m", "e"))              // an entry instance
	is.True(!set("m", "g0", "g1", "g2")) // over the maximum
	is.True(!set("other:a", "g0"))       // the adapter under another model
	is.True(set("m:a", "g0", "g1", "g2"))
	v, _ = apply(v, record.ConfigChange{Base: v.ConfigVersion, Changes: change(`adapters/a={"model":"m","max_replicas":1}`)})
	is.True(set("m:a", "g0"))        // lowering the maximum leaves room to remove
	is.True(!set("m:a", "g0", "g3")) // but none to add
	h, _ := v.Homes.Get("m:a")
	is.Equal(len(h.Releasing), 2)
}
