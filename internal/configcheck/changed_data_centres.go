package configcheck

import "github.com/jacinthbend/jacinthbend/internal/config"

// removedDataCentre is a risk because instances in a data centre that is not listed
// count as in service and cannot be taken out.
func (c *comparison) removedDataCentre(id string, path config.Path, old config.DataCentre) {
	text := "data centre %q is removed: it can no longer be taken out; make sure that no instance runs there"
	if !old.In() {
		text = "data centre %q is out and is removed: instances that still run there take work again; make sure that none does"
	}
	c.found.risk(CodeCentreRemoved, path, text, id)
}

func (c *comparison) changedDataCentre(id string, path config.Path, old, next config.DataCentre) {
	switch {
	case old.In() && !next.In():
		c.found.risk(CodeCentreOut, path.Field("state"), "data centre %q is taken out: it gets no new work after a few seconds; make sure that the others can bear its load", id)
	case !old.In() && next.In():
		c.found.change(CodeCentreIn, path.Field("state"), "data centre %q returns to service", id)
	}
	if old.Region != next.Region {
		c.found.change(CodeChanged, path.Field("region"), "the region changes from %q to %q", old.Region, next.Region)
	}
}
