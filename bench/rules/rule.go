package rules

import (
	_ "embed"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Rule is a rule of the product and how to remove it.
type Rule struct {
	// Name says what holds.
	Name string `json:"rule"`
	// File is the source file, relative to the repository's root.
	File string `json:"file"`
	// Old occurs once in File. The rule is removed by putting New in its place.
	Old string `json:"old"`
	New string `json:"new"`
	// Package is the folder of the tests, relative to the root, and Test the name of the
	// one that fails without the rule.
	Package string `json:"package"`
	Test    string `json:"test"`
}

//go:embed rules.json
var list []byte

// All returns the listed rules.
func All() ([]Rule, error) {
	var out []Rule
	err := json.Unmarshal(list, &out)
	return out, errors.Wrap(err, "decode rules.json")
}

// Remove returns the content of the rule's file below root without the rule.
func (r Rule) Remove(root string) (before, after []byte, err error) {
	before, err = os.ReadFile(filepath.Join(root, r.File))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "rule %q", r.Name)
	}
	if n := strings.Count(string(before), r.Old); n != 1 {
		return nil, nil, errors.Errorf("rule %q: its text occurs %d times in %s, not once", r.Name, n, r.File)
	}
	return before, []byte(strings.Replace(string(before), r.Old, r.New, 1)), nil
}
