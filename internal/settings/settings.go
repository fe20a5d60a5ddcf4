// Package settings reads and validates the settings of a process: a JSON file and
// flags that override it. All problems are reported together.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Problem is an invalid setting.
type Problem struct {
	// Field is the JSON path of the setting.
	Field  string
	Value  string
	Reason string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s = %q: %s", p.Field, p.Value, p.Reason)
}

// Problems are all invalid settings of a process.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return "invalid settings:\n  " + strings.Join(lines, "\n  ")
}

// asError returns ps, or a nil error if it is empty, so that callers can compare
// the error with nil.
func (ps Problems) asError() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// processSettings are the settings of one kind of process.
type processSettings interface {
	setDefaults()
	Validate() error
}

// load reads the file at path into s, applies override and validates the result.
func load[S processSettings](path string, s S, override func(S)) error {
	if err := readFile(path, s); err != nil {
		return err
	}
	if override != nil {
		override(s)
	}
	s.setDefaults()
	return s.Validate()
}

// readFile decodes the JSON file at path into s. Unknown fields are an error.
func readFile(path string, s any) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings file")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return errors.Wrapf(err, "settings file %s", path)
	}
	if dec.More() {
		return errors.Errorf("settings file %s has more than one JSON value", path)
	}
	return nil
}

// validator collects the problems that its checks find.
type validator struct {
	problems Problems
}

func (c *validator) add(field, value, reason string) {
	c.problems = append(c.problems, Problem{Field: field, Value: value, Reason: reason})
}

func (c *validator) required(field, value string) {
	if value == "" {
		c.add(field, value, "is required")
	}
}

// address checks that value is IP:port. Host names are not allowed.
func (c *validator) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, value, "must be IP:port")
	}
}

func (c *validator) within(field string, value, low, high int) {
	if value < low || value > high {
		c.add(field, fmt.Sprint(value), fmt.Sprintf("must be from %d to %d", low, high))
	}
}
