package configcheck

import "github.com/jacinthbend/jacinthbend/internal/config"

func (c *comparison) removedPool(id string, path config.Path, _ config.Pool) {
	c.found.risk(CodePoolRemoved, path, "pool %q is removed: its upstreams get no more requests; make sure that they are meant to stop", id)
}

func (c *comparison) changedPool(id string, path config.Path, old, next config.Pool) {
	c.compareReplaced(CodePoolChanged, path.Field("kind"), "the kind", string(old.Kind), string(next.Kind),
		"its upstreams have to be of the new kind already; use a new pool otherwise")
	if old.Kind == next.Kind {
		compareNumber(c, path.Field("memory_mib"), "the memory of an upstream in MiB", old.MemoryMiB, next.MemoryMiB,
			"fewer models stay loaded, and more requests wait for loads")
	}
	compareNumber(c, path.Field("max_in_flight"), "the maximum of concurrent requests to an upstream", old.MaxInFlight, next.MaxInFlight,
		"more requests wait or are refused")
	compareNumber(c, path.Field("start_in_flight"), "the maximum of concurrent requests to a new upstream", old.StartInFlight, next.StartInFlight,
		"more requests wait or are refused after a start")
	switch {
	case next.ChecksFencing && !old.ChecksFencing:
		c.found.risk(CodeFencingChanged, path.Field("checks_fencing"),
			"agents rely on the engines of pool %q to reject orders with an older fencing number; make sure that all of them do", id)
	case old.ChecksFencing && !next.ChecksFencing:
		c.found.change(CodeFencingChanged, path.Field("checks_fencing"), "agents no longer rely on the engines of pool %q to reject orders with an older fencing number", id)
	}
}
