package configcheck

import (
	"maps"
	"slices"
	"strconv"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

type number interface{ ~int | ~int64 | ~float64 }

// formatNumber writes all digits of a number; %v writes 5000000.0 as 5e+06.
func formatNumber[N number](n N) string { return strconv.FormatFloat(float64(n), 'f', -1, 64) }

// compareNumber reports a difference between two numbers. A lower one is a risk, and
// consequence says what it means.
func compareNumber[N number](c *comparison, path config.Path, what string, old, next N, consequence string) {
	switch {
	case next < old:
		c.found.risk(CodeLowered, path, "%s is lowered from %s to %s: %s", what, formatNumber(old), formatNumber(next), consequence)
	case next > old:
		c.found.change(CodeRaised, path, "%s is raised from %s to %s", what, formatNumber(old), formatNumber(next))
	}
}

// compareAccess reports which teams gain or lose the use of an entry. An empty list
// allows all teams, also those that are added later.
func (c *comparison) compareAccess(path config.Path, what string, old, next []string) {
	path = path.Field("teams")
	switch {
	case len(old) == 0 && len(next) == 0:
		return
	case len(old) == 0:
		old = slices.Sorted(maps.Keys(c.base.Teams))
		if len(without(old, next)) == 0 {
			c.found.change(CodeAccessWithdrawn, path, "all teams may use %s now, but only %s may then; teams that are added later may not", what, listTeams(next))
			return
		}
	case len(next) == 0:
		c.found.risk(CodeAccessGranted, path, "only %s may use %s now, but all teams may then; make sure that this is meant", listTeams(old), what)
		return
	}
	if lost := without(old, next); len(lost) > 0 {
		c.found.risk(CodeAccessWithdrawn, path, "%s may no longer use %s, and the calls are refused; make sure that nobody needs it", listTeams(lost), what)
	}
	if gained := without(next, old); len(gained) > 0 {
		c.found.change(CodeAccessGranted, path, "%s may use %s", listTeams(gained), what)
	}
}

// without returns the elements of list that are not in other.
func without(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(other, s) })
}

// compareReplaced reports a changed text whose change moves or reloads replicas.
func (c *comparison) compareReplaced(code Code, path config.Path, what, old, next, consequence string) {
	if old != next {
		c.found.risk(code, path, "%s changes from %q to %q: %s", what, old, next, consequence)
	}
}
