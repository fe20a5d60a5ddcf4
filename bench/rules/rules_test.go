package rules

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRules guards against rules whose text or test is no longer in the sources, so that they
// could not be removed or would be noticed by nothing.
func TestRules(t *testing.T) {
	const root = "../.."
	check := is.New(t)
	all, err := All()
	check.NoErr(err)
	check.True(len(all) > 0)
	names := make(map[string]bool)
	for _, r := range all {
		check.True(!names[r.Name]) // names are unique
		names[r.Name] = true
		_, _, err := r.Remove(root)
		check.NoErr(err)
		files, err := filepath.Glob(filepath.Join(root, r.Package, "*_test.go"))
		check.NoErr(err)
		found := false
		for _, f := range files {
			data, err := os.ReadFile(f)
			check.NoErr(err)
			found = found || strings.Contains(string(data), "func "+r.Test+"(")
		}
		if !found {
			t.Errorf("rule %q: no test %s in %s", r.Name, r.Test, r.Package)
		}
	}
}

// TestRemove guards against a rule that is removed at the wrong place, or not at all without an
// error.
func TestRemove(t *testing.T) {
	check := is.New(t)
	dir := t.TempDir()
	check.NoErr(os.WriteFile(filepath.Join(dir, "a.go"), []byte("x if a { y } x"), 0o600))
	_, after, err := Rule{File: "a.go", Old: "if a { y }", New: "z"}.Remove(dir)
	check.NoErr(err)
	check.Equal(string(after), "x z x")
	for _, old := range []string{"x", "missing"} {
		_, _, err := Rule{File: "a.go", Old: old}.Remove(dir)
		check.True(err != nil)
	}
	_, _, err = Rule{File: "b.go", Old: "x"}.Remove(dir)
	check.True(err != nil)
}
