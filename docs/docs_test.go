// Package docs checks the pages of this directory against the code.
package docs

import (
	"encoding/json"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/jacinthbend/jacinthbend/internal/cli"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/configcheck"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/matryer/is"
)

// rows returns the table rows of a part of a page by their first cell.
func rows(t *testing.T, text string) map[string][]string {
	out := make(map[string][]string)
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "| \n"), " | ")
		name := strings.Trim(cells[0], "`")
		if out[name] != nil && name != "id" && name != "word" {
			t.Errorf("%s has two rows", name)
		}
		out[name] = cells
	}
	return out
}

func read(t *testing.T, name string) string {
	data, err := os.ReadFile(name)
	is.New(t).NoErr(err)
	return string(data)
}

// defaults are the JSON forms of empty entries with their defaults.
var defaults = map[record.Section]any{
	record.SectionTeams:       config.Team{}.WithDefaults(),
	record.SectionKeys:        config.Key{},
	record.SectionDataCentres: config.DataCentre{}.WithDefaults(),
	record.SectionPools:       config.Pool{}.WithDefaults(),
	record.SectionModels:      config.Model{}.WithDefaults(),
	record.SectionAdapters:    config.Adapter{}.WithDefaults(),
	record.SectionRoutes:      config.Route{}.WithDefaults(),
	record.SectionLimits:      config.Limits{}.WithDefaults(),
}

var zeros = map[config.FieldKind]string{
	config.FieldString: "none", config.FieldArray: "none", config.FieldBoolean: "`false`",
	config.FieldInteger: "`0`", config.FieldNumber: "`0`",
}

// TestConfiguration guards the page against a field that is missing, renamed
// or documented with another type or default than the code has.
func TestConfiguration(t *testing.T) {
	is := is.New(t)
	parts := regexp.MustCompile(`(?m)^### `).Split(read(t, "configuration.md"), -1)
	for _, code := range cli.ExitCodes() {
		is.Equal(len(rows(t, parts[0])[strconv.Itoa(int(code))]), 2) // a row per exit code
	}
	for _, code := range configcheck.Codes() {
		is.Equal(len(rows(t, parts[0])[string(code)]), 3) // a row per code of a finding
	}
	parts = parts[1:]
	is.Equal(len(parts), len(config.Sections()))
	for i, section := range config.Sections() {
		is.True(strings.HasPrefix(parts[i], string(section)+"\n")) // order of the sections
		got := rows(t, parts[i])
		delete(got, "field")
		members := make(map[string]json.RawMessage)
		data, err := json.Marshal(defaults[section])
		is.NoErr(err)
		is.NoErr(json.Unmarshal(data, &members))
		for _, f := range config.Fields(section) {
			want := zeros[f.Kind]
			if value, ok := members[f.Name]; ok {
				want = "`" + string(value) + "`"
			}
			if f.Required {
				want = "required"
			}
			row := got[f.Name]
			is.Equal(len(row), 5)                   // a row of five cells per field
			is.Equal(row[1], string(f.Kind))        // type
			is.True(row[2] != "")                   // unit
			is.Equal(row[3], want)                  // default
			is.True(strings.HasSuffix(row[4], ".")) // meaning
			is.True(f.Help != "")                   // doc comment
			delete(got, f.Name)
		}
		is.Equal(len(got), 0) // a row for a field that does not exist
	}
}

// TestErrors guards the page against the table of error kinds.
func TestErrors(t *testing.T) {
	is := is.New(t)
	got := rows(t, read(t, "errors.md"))
	delete(got, "kind")
	is.Equal(len(got), len(errkind.All()))
	for _, kind := range errkind.All() {
		a := errkind.ResponseFor(kind)
		retry := map[bool]string{true: "yes", false: "no"}[a.Retryable]
		is.Equal(got[string(kind)], []string{"`" + string(kind) + "`", strconv.Itoa(a.Status), string(a.Ran), retry, a.Advice})
	}
}

// TestGlossary guards against a word, invariant or fault of the design page
// without an entry.
func TestGlossary(t *testing.T) {
	design := read(t, "design.md")
	terms := design[strings.Index(design, "## 3. Terminology"):strings.Index(design, "## 4. Code style")]
	requirements := design[strings.Index(design, "### 2.1 Invariants"):strings.Index(design, "### 2.3 What")]
	got := rows(t, read(t, "glossary.md"))
	for word := range rows(t, terms+requirements) {
		if len(got[word]) != 3 {
			t.Errorf("the glossary has no row of three cells for %q", word)
		}
	}
	for _, word := range regexp.MustCompile(`\*([a-z]+)\*`).FindAllStringSubmatch(terms, -1) {
		if got[word[1]] == nil {
			t.Errorf("the glossary has no row for %q", word[1])
		}
	}
}
