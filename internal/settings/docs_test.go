package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const docs = "../../docs"

// fieldPaths returns the JSON paths of the fields of t.
func fieldPaths(t reflect.Type, prefix string) []string {
	var out []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous:
			out = append(out, fieldPaths(f.Type, prefix)...)
		case f.Type.Kind() == reflect.Struct:
			out = append(out, fieldPaths(f.Type, prefix+name+".")...)
		default:
			out = append(out, prefix+name)
		}
	}
	return out
}

// valueAt returns the value at a JSON path in the encoding of s.
func valueAt(t *testing.T, s any, path string) string {
	check := is.New(t)
	data, err := json.Marshal(s)
	check.NoErr(err)
	var v any
	check.NoErr(json.Unmarshal(data, &v))
	for _, name := range strings.Split(path, ".") {
		v = v.(map[string]any)[name]
	}
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// invalidFields returns the fields that err reports.
func invalidFields(err error) map[string]bool {
	out := make(map[string]bool)
	problems, _ := err.(Problems)
	for _, p := range problems {
		out[p.Field] = true
	}
	return out
}

// TestDocsMatchSettings checks that the examples set every setting, and that the
// operations page lists every setting with its actual default.
func TestDocsMatchSettings(t *testing.T) {
	entry, entryErr := LoadEntry("", nil)
	agent, agentErr := LoadAgent("", nil)
	entryExample, err := LoadEntry(filepath.Join(docs, "examples/entry.json"), nil)
	is.New(t).NoErr(err)
	agentExample, err := LoadAgent(filepath.Join(docs, "examples/agent.json"), nil)
	is.New(t).NoErr(err)
	page, err := os.ReadFile(filepath.Join(docs, "OPERATIONS.md"))
	is.New(t).NoErr(err)
	for _, row := range []struct {
		part           string
		empty, example any
		required       map[string]bool
	}{
		{"### Entry instance\n", entry, entryExample, invalidFields(entryErr)},
		{"### Agent\n", agent, agentExample, invalidFields(agentErr)},
	} {
		_, part, ok := strings.Cut(string(page), row.part)
		is.New(t).True(ok)
		part, _, _ = strings.Cut(part, "\n#")
		names := fieldPaths(reflect.TypeOf(row.empty), "")
		is.New(t).Equal(strings.Count(part, "\n| `"), len(names)) // one table row per field
		for _, name := range names {
			t.Run(row.part+name, func(t *testing.T) {
				check := is.New(t)
				check.True(valueAt(t, row.example, name) != "") // the example sets it
				_, line, ok := strings.Cut(part, "\n| `"+name+"` | ")
				check.True(ok) // the page lists it
				line, _, _ = strings.Cut(line, "\n")
				cells := strings.Split(strings.TrimSuffix(line, " |"), " | ")
				check.Equal(len(cells), 3)
				want := "none"
				if v := valueAt(t, row.empty, name); row.required[name] {
					want = "required"
				} else if v != "" {
					want = "`" + v + "`"
				}
				check.Equal(cells[1], want)
			})
		}
	}
}

// TestInvalidSettings checks that each invalid value is reported with its field,
// and that the message never contains the token.
func TestInvalidSettings(t *testing.T) {
	rows := []struct {
		field string
		set   func(*Entry)
	}{
		{"instance", func(s *Entry) { s.Instance = "" }},
		{"data_centre", func(s *Entry) { s.DataCentre = "" }},
		{"peer_addr", func(s *Entry) { s.PeerAddr = "host:1" }},
		{"operator_addr", func(s *Entry) { s.OperatorAddr = "127.0.0.1" }},
		{"caller_addr", func(s *Entry) { s.CallerAddr = "127.0.0.1:99999" }},
		{"platform.log_addr", func(s *Entry) { s.Platform.LogAddr = "" }},
		{"platform.list_addr", func(s *Entry) { s.Platform.ListAddr = "x" }},
		{"platform.weights_addr", func(s *Entry) { s.Platform.WeightsAddr = "x" }},
		{"seeds", func(s *Entry) { s.Seeds = []string{"x"} }},
		{"drain_timeout_s", func(s *Entry) { s.DrainTimeoutS = -1 }},
		{"drain_timeout_s", func(s *Entry) { s.DrainTimeoutS = 1 << 60 }},
		{"log_level", func(s *Entry) { s.LogLevel = "loud" }},
		{"operator_token", func(s *Entry) { s.OperatorToken = "short" }},
	}
	for _, row := range rows {
		t.Run(row.field, func(t *testing.T) {
			check := is.New(t)
			_, err := LoadEntry(filepath.Join(docs, "examples/entry.json"), row.set)
			check.True(err != nil)
			check.Equal(invalidFields(err), map[string]bool{row.field: true})
			check.True(!strings.Contains(err.Error(), "short")) // the message must not contain the token
		})
	}
}

// TestMalformedFile checks that a misspelt field or a second JSON value in the
// file is an error; both would otherwise be ignored silently.
func TestMalformedFile(t *testing.T) {
	for _, content := range []string{`{"instanse":"x"}`, `{} {}`, `{"instance":1}`, `{`, ``} {
		path := filepath.Join(t.TempDir(), "s.json")
		check := is.New(t)
		check.NoErr(os.WriteFile(path, []byte(content), 0o600))
		_, err := LoadAgent(path, nil)
		check.True(err != nil)
		check.Equal(len(invalidFields(err)), 0) // rejected before the values are validated
	}
}
