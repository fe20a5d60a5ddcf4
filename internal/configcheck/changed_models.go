package configcheck

import (
	"fmt"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

func (c *comparison) removedModel(id string, path config.Path, _ config.Model) {
	c.found.risk(CodeModelRemoved, path, "model %q is removed: its calls get 404, and its replicas are unloaded; make sure that nobody calls it", id)
}

func (c *comparison) changedModel(id string, path config.Path, old, next config.Model) {
	c.compareReplaced(CodePoolChanged, path.Field("pool"), "the pool", old.Pool, next.Pool,
		"each replica is unloaded, and is loaded again in the new pool")
	c.compareReplaced(CodeVersionChanged, path.Field("version"), "the version", old.Version, next.Version,
		"each replica is unloaded, and the new version is loaded when it is needed")
	c.compareMemory(path, old.MemoryMiB, next.MemoryMiB)
	compareNumber(c, path.Field("min_replicas"), "the minimum of loaded replicas", old.MinReplicas, next.MinReplicas,
		"idle replicas are unloaded, and the first requests wait for a load")
	compareNumber(c, path.Field("max_replicas"), "the maximum of loaded replicas", old.MaxReplicas, next.MaxReplicas,
		"replicas are unloaded, and more requests wait or are refused")
	c.compareAccess(path, fmt.Sprintf("model %q", id), old.Teams, next.Teams)
	c.compareValue(path, old.Value, next.Value)
}

// compareMemory has no risk in either direction that the document shows: it says how
// large the checkpoint is, not how large it may be.
func (c *comparison) compareMemory(path config.Path, old, next int64) {
	if old != next {
		c.found.change(CodeChanged, path.Field("memory_mib"), "the memory of a replica changes from %d to %d MiB; make sure that this is its size", old, next)
	}
}

func (c *comparison) compareValue(path config.Path, old, next int) {
	if old != next {
		c.found.change(CodeChanged, path.Field("value"), "the priority among loads changes from %d to %d", old, next)
	}
}
