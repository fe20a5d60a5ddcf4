package config

import (
	"fmt"
	"slices"
	"strings"
)

// Problems are all errors of a document, sorted by path.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if ps is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Under returns the problems at path and below it.
func (ps Problems) Under(path Path) Problems {
	var out Problems
	for _, p := range ps {
		rest, ok := strings.CutPrefix(string(p.Path), string(path))
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			out = append(out, p)
		}
	}
	return out
}

func (ps *Problems) add(rule Rule, path Path, value any, format string, args ...any) {
	*ps = append(*ps, Problem{Rule: rule, Path: path, Value: formatValue(value), Reason: fmt.Sprintf(format, args...)})
}

// sorted sorts ps in place by path and reason and returns it without duplicates.
func (ps Problems) sorted() Problems {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		if c := strings.Compare(string(a.Path), string(b.Path)); c != 0 {
			return c
		}
		return strings.Compare(a.Reason, b.Reason)
	})
	return slices.Compact(ps)
}
