package configcheck

import (
	"fmt"
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

func (c *comparison) removedRoute(id string, path config.Path, _ config.Route) {
	c.found.risk(CodeRouteDropped, path, "route %q is dropped: calls to /svc/%s/ get 404; make sure that nobody calls it", id, id)
}

func (c *comparison) changedRoute(id string, path config.Path, old, next config.Route) {
	c.compareReplaced(CodePoolChanged, path.Field("pool"), "the pool", old.Pool, next.Pool, "calls go to other upstreams; make sure that they serve them")
	c.compareOpen(id, path, old, next)
	c.compareRepeatable(path, old.Repeatable, next.Repeatable)
	if dropped := without(old.Methods, next.Methods); len(dropped) > 0 {
		c.found.risk(CodeMethodDropped, path.Field("methods"), "calls with %s get 405; make sure that nobody makes them", strings.Join(dropped, ", "))
	}
	if added := without(next.Methods, old.Methods); len(added) > 0 {
		c.found.change(CodeMethodAdded, path.Field("methods"), "calls with %s are accepted", strings.Join(added, ", "))
	}
}

// compareOpen compares who may call the route. An open route has no teams and is
// free of charge, so its teams and its cost are not compared.
func (c *comparison) compareOpen(id string, path config.Path, old, next config.Route) {
	switch {
	case next.Open && !old.Open:
		c.found.risk(CodeRouteOpened, path.Field("open"), "route %q accepts calls without a key, and charges nobody; make sure that anyone may call pool %q", id, next.Pool)
	case old.Open && !next.Open:
		c.found.risk(CodeRouteClosed, path.Field("open"), "route %q requires a key, and calls without one get 401; give each caller a key first", id)
	case !next.Open:
		c.compareAccess(path, fmt.Sprintf("route %q", id), old.Teams, next.Teams)
		c.compareCost(path.Field("cost_tokens"), old.CostTokens, next.CostTokens)
	}
}

// compareCost reports a higher cost as a risk: with the same budget, a team can make
// fewer calls.
func (c *comparison) compareCost(path config.Path, old, next float64) {
	switch {
	case next > old:
		c.found.risk(CodeRaised, path, "a call costs %s tokens in place of %s: teams can make fewer calls; check their rates", formatNumber(next), formatNumber(old))
	case next < old:
		c.found.change(CodeLowered, path, "a call costs %s tokens in place of %s", formatNumber(next), formatNumber(old))
	}
}

func (c *comparison) compareRepeatable(path config.Path, old, next bool) {
	switch {
	case next && !old:
		c.found.risk(CodeRepeatsAllowed, path.Field("repeatable"), "calls may run more than once; make sure that the services bear it")
	case old && !next:
		c.found.risk(CodeRepeatsDenied, path.Field("repeatable"), "calls without an Idempotency-Key get 400, and failed calls are not retried; change the callers first")
	}
}
