package config

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func (c *checker) checkPools() {
	for id, pool := range c.doc.Pools {
		loc := locationOf(record.SectionPools, id)
		memory := loc.Field("memory_mib")
		switch pool.Kind {
		case PoolEngine:
			checkRange(c, memory, pool.MemoryMiB, 1, maxMemoryMiB)
		case PoolService:
			if pool.MemoryMiB != 0 {
				c.add(RuleConflict, memory, pool.MemoryMiB, "must be absent: a service pool loads no models")
			}
			if pool.ChecksFencing {
				c.add(RuleConflict, loc.Field("checks_fencing"), pool.ChecksFencing, "must be absent: a service receives no load orders")
			}
		default:
			c.add(RuleFormat, loc.Field("kind"), string(pool.Kind), "must be %q or %q", PoolEngine, PoolService)
		}
		checkRange(c, loc.Field("max_in_flight"), pool.MaxInFlight, 0, maxInFlight)
		checkRange(c, loc.Field("start_in_flight"), pool.StartInFlight, 0, maxInFlight)
		effective := pool.WithDefaults()
		if effective.StartInFlight > effective.MaxInFlight {
			c.add(RuleConflict, loc.Field("start_in_flight"), effective.StartInFlight, "must be at most max_in_flight, which is %d", effective.MaxInFlight)
		}
	}
}

func (c *checker) checkModels() {
	for id, model := range c.doc.Models {
		loc := locationOf(record.SectionModels, id)
		memory := loc.Field("memory_mib")
		checkRange(c, memory, model.MemoryMiB, 1, maxMemoryMiB)
		pool, ok := c.checkPoolRef(loc.Field("pool"), model.Pool, PoolEngine)
		if ok && model.MemoryMiB > pool.MemoryMiB {
			c.add(RuleConflict, memory, model.MemoryMiB, "must fit an upstream of pool %q, which has %d MiB", model.Pool, pool.MemoryMiB)
		}
		checkRange(c, loc.Field("min_replicas"), model.MinReplicas, 0, maxReplicas)
		checkRange(c, loc.Field("max_replicas"), model.MaxReplicas, 0, maxReplicas)
		if limit := model.WithDefaults().MaxReplicas; limit > 0 && model.MinReplicas > limit {
			c.add(RuleConflict, loc.Field("min_replicas"), model.MinReplicas, "must be at most max_replicas, which is %d", limit)
		}
		c.checkVersion(loc.Field("version"), model.Version)
		c.checkTeamIDs(loc.Field("teams"), model.Teams)
	}
}

func (c *checker) checkAdapters() {
	for id, adapter := range c.doc.Adapters {
		loc := locationOf(record.SectionAdapters, id)
		memory := loc.Field("memory_mib")
		checkRange(c, memory, adapter.MemoryMiB, 1, maxMemoryMiB)
		model, ok := c.doc.Models[adapter.Model]
		if !ok {
			c.add(RuleReference, loc.Field("model"), adapter.Model, "there is no such base model")
		}
		pool, hasPool := c.doc.Pools[model.Pool]
		if ok && hasPool && pool.Kind == PoolEngine && adapter.MemoryMiB > pool.MemoryMiB-model.MemoryMiB {
			c.add(RuleConflict, memory, adapter.MemoryMiB, "must fit beside its base model of %d MiB in pool %q, which has %d MiB",
				model.MemoryMiB, model.Pool, pool.MemoryMiB)
		}
		checkRange(c, loc.Field("max_replicas"), adapter.MaxReplicas, 0, maxReplicas)
		c.checkVersion(loc.Field("version"), adapter.Version)
		c.checkTeamIDs(loc.Field("teams"), adapter.Teams)
	}
}
