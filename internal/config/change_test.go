package config

import (
	"encoding/json"
	"testing"

	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestDiffApply guards the round trip: the difference between any two documents,
// applied to the first, must give the second. It must leave the first unchanged,
// because live views of the configuration share its maps.
func TestDiffApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := randomDocument(t), randomDocument(t)
		before := encode(from)
		got, problems := Apply(from, Diff(from, to))
		if len(problems) > 0 || string(encode(got)) != string(encode(to)) {
			t.Fatalf("applied difference gives %s, want %s (%v)", encode(got), encode(to), problems)
		}
		if string(encode(from)) != string(before) {
			t.Fatal("the original document changed")
		}
	})
}

// randomDocument returns the sample with random entries deleted and another set
// of teams.
func randomDocument(t *rapid.T) Document {
	doc := sample()
	for _, s := range sections {
		for _, id := range s.ids(doc) {
			if rapid.Bool().Draw(t, "drop") {
				_ = s.apply(&doc, id, nil)
			}
		}
	}
	doc.Teams = map[string]Team{"beta": {Weight: rapid.Float64Range(0, 9).Draw(t, "weight")}}
	return doc
}

// TestApplyIsAllOrNothing guards against applying a part of a change set that
// has one invalid entry.
func TestApplyIsAllOrNothing(t *testing.T) {
	valid := entryPut(record.SectionTeams, "beta", `{"rate_tokens_per_s": 1, "burst_tokens": 1}`)
	cases := map[Path]record.EntryChange{
		"$.tames":              entryPut("tames", "x", `{}`),
		"$.limits":             entryPut(record.SectionLimits, "other", `{}`),
		"$.teams.x.unknown":    entryPut(record.SectionTeams, "x", `{"rate_tokens_per_s": 1, "burst_tokens": 1, "unknown": 1}`),
		"$.teams.y":            entryPut(record.SectionTeams, "y", `{`),
		"$.pools.p.memory_mib": entryPut(record.SectionPools, "p", `{"kind": "engine", "memory_mib": "1"}`),
	}
	for path, invalid := range cases {
		is := is.New(t)
		doc := sample()
		got, problems := Apply(doc, []record.EntryChange{valid, invalid})
		is.Equal(problems[0].Path, path)
		is.Equal(got, sample()) // a part was applied
	}
}

// FuzzParse checks for any input that decoding, validation and change sets do not
// panic, and that no change set is applied in part.
func FuzzParse(f *testing.F) {
	f.Add([]byte(encode(sample())))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err == nil {
			again, problems := Apply(Document{}, Diff(Document{}, doc))
			if len(problems) > 0 || string(encode(again)) != string(encode(doc)) {
				t.Fatalf("difference does not reproduce the document: %v", problems)
			}
		}
		var changes []record.EntryChange
		if json.Unmarshal(data, &changes) != nil {
			return
		}
		base := sample()
		next, problems := Apply(base, changes)
		if len(problems) > 0 && string(encode(next)) != string(encode(sample())) {
			t.Fatal("a rejected change set was applied in part")
		}
		if string(encode(base)) != string(encode(sample())) {
			t.Fatal("the base document changed")
		}
		Validate(next)
	})
}
