package configcheck

import (
	"fmt"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

func (c *comparison) removedAdapter(id string, path config.Path, old config.Adapter) {
	c.found.risk(CodeAdapterRemoved, path, "adapter \"%s:%s\" is removed: its calls get 404; make sure that nobody calls it", old.Model, id)
}

func (c *comparison) changedAdapter(id string, path config.Path, old, next config.Adapter) {
	if old.Model != next.Model {
		c.found.risk(CodeBaseChanged, path.Field("model"), "callers have to name the adapter \"%s:%s\": calls to \"%s:%s\" get 404; tell the callers, or add a new adapter",
			next.Model, id, old.Model, id)
	}
	c.compareReplaced(CodeVersionChanged, path.Field("version"), "the version", old.Version, next.Version,
		"each replica is unloaded, and the new version is loaded when it is needed")
	c.compareMemory(path, old.MemoryMiB, next.MemoryMiB)
	compareNumber(c, path.Field("max_replicas"), "the maximum of loaded replicas", old.MaxReplicas, next.MaxReplicas,
		"replicas are unloaded, and more requests wait or are refused")
	c.compareAccess(path, fmt.Sprintf("adapter %q", id), old.Teams, next.Teams)
	c.compareValue(path, old.Value, next.Value)
}
