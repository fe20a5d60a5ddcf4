package configcheck

import (
	"maps"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// fleet compares a document with the live processes.
type fleet struct {
	*document
	// upstreams counts the upstreams of each pool in data centres that the document
	// has in service.
	upstreams map[string]int
	// unlisted counts the processes in data centres that the document lacks.
	unlisted map[string]int
}

func newFleet(d *document, instances []Instance) *fleet {
	f := &fleet{document: d, upstreams: make(map[string]int), unlisted: make(map[string]int)}
	for _, i := range instances {
		dc, listed := d.DataCentres[i.DataCentre]
		if !listed {
			f.unlisted[i.DataCentre]++
		}
		if i.Pool != "" && dc.In() {
			f.upstreams[i.Pool]++
		}
	}
	return f
}

func (f *fleet) check(out *findings) {
	for id, n := range f.unlisted {
		out.warn(CodeUnlisted, entryPath(record.SectionDataCentres, id),
			"%d live instances run in data centre %q, which the document does not list, so it cannot be taken out; add it, or correct the settings of the instances", n, id)
	}
	for id, pool := range f.Pools {
		switch {
		case f.poolUsers[id] == 0:
		case f.upstreams[id] == 0:
			out.warn(CodeNoUpstream, entryPath(record.SectionPools, id),
				"no live upstream of pool %q is in a data centre that is in service, so its models and routes cannot be served; start one, or return a data centre", id)
		case pool.Kind == config.PoolEngine:
			f.checkReplicas(id, pool, out)
		}
	}
}

// checkReplicas compares the replicas that must always be loaded with the upstreams
// of the pool. An upstream holds at most one replica of a model.
func (f *fleet) checkReplicas(poolID string, pool config.Pool, out *findings) {
	upstreams := f.upstreams[poolID]
	var needMiB int64
	for _, id := range slices.Sorted(maps.Keys(f.Models)) {
		m := f.Models[id]
		if m.Pool != poolID {
			continue
		}
		needMiB += int64(m.MinReplicas) * m.MemoryMiB
		if m.MinReplicas > upstreams {
			out.warn(CodeReplicasOverUpstream, entryPath(record.SectionModels, id, "min_replicas"),
				"%d replicas need as many upstreams, but pool %q has %d in service; start more upstreams, or lower min_replicas", m.MinReplicas, poolID, upstreams)
		}
	}
	if haveMiB := int64(upstreams) * pool.MemoryMiB; needMiB > haveMiB {
		out.warn(CodeMemoryOverUpstreams, entryPath(record.SectionPools, poolID),
			"the minimum replicas of its models need %d MiB, but its %d upstreams in service have %d MiB; start more upstreams, or lower min_replicas of its models",
			needMiB, upstreams, haveMiB)
	}
}
