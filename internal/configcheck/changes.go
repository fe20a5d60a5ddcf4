package configcheck

import (
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Changes returns what publishing next in place of base would change. Both documents
// must be valid. Each entry that config.Diff lists has at least one finding.
func Changes(base, next config.Document) []Finding {
	c := &comparison{base: base.WithDefaults(), next: next.WithDefaults()}
	for _, change := range config.Diff(base, next) {
		path := config.EntryPath(change.Section, change.ID)
		before := len(c.found)
		c.compare(change.Section, change.ID, path)
		if len(c.found) == before {
			c.found.change(CodeSameMeaning, path, "the entry is written differently, but means the same, since defaults apply to absent fields")
		}
	}
	Sort(c.found)
	return c.found
}

// comparison collects the differences between two documents that have their
// defaults set.
type comparison struct {
	base, next config.Document
	found      findings
	// idByDigest maps the digests of the keys of next to their ids. It is nil until
	// a key is missing from next.
	idByDigest map[string]string
}

func (c *comparison) compare(section record.Section, id string, path config.Path) {
	switch section {
	case record.SectionTeams:
		compareEntry(c, "team", id, path, c.base.Teams, c.next.Teams, c.removedTeam, c.changedTeam)
	case record.SectionKeys:
		compareEntry(c, "key", id, path, c.base.Keys, c.next.Keys, c.removedKey, c.changedKey)
	case record.SectionDataCentres:
		compareEntry(c, "data centre", id, path, c.base.DataCentres, c.next.DataCentres, c.removedDataCentre, c.changedDataCentre)
	case record.SectionPools:
		compareEntry(c, "pool", id, path, c.base.Pools, c.next.Pools, c.removedPool, c.changedPool)
	case record.SectionModels:
		compareEntry(c, "model", id, path, c.base.Models, c.next.Models, c.removedModel, c.changedModel)
	case record.SectionAdapters:
		compareEntry(c, "adapter", id, path, c.base.Adapters, c.next.Adapters, c.removedAdapter, c.changedAdapter)
	case record.SectionRoutes:
		compareEntry(c, "route", id, path, c.base.Routes, c.next.Routes, c.removedRoute, c.changedRoute)
	case record.SectionLimits:
		c.changedLimits(path)
	}
}

// compareEntry calls removed or changed for an entry of base, and reports any other
// entry as added. The noun names the kind of entry.
func compareEntry[V any](c *comparison, noun, id string, path config.Path, base, next map[string]V,
	removed func(id string, path config.Path, old V), changed func(id string, path config.Path, old, next V),
) {
	old, had := base[id]
	entry, has := next[id]
	switch {
	case !had:
		c.added(noun, id, path, entry)
	case !has:
		removed(id, path, old)
	default:
		changed(id, path, old, entry)
	}
}

// added reports a new entry. A route without keys is a risk, because anyone may call
// its upstreams.
func (c *comparison) added(noun, id string, path config.Path, entry any) {
	switch entry := entry.(type) {
	case config.Key:
		c.found.change(CodeAdded, path, "%s is new", describeKey(id, entry))
	case config.Route:
		if entry.Open {
			c.found.risk(CodeRouteOpened, path, "new route %q accepts calls without a key; make sure that anyone may call pool %q", id, entry.Pool)
			return
		}
		c.found.change(CodeAdded, path, "route %q is new", id)
	default:
		c.found.change(CodeAdded, path, "%s %q is new", noun, id)
	}
}
