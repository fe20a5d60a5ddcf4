package configcheck

import "github.com/jacinthbend/jacinthbend/internal/config"

// Warnings returns the entries of doc that no request can reach and the limits that
// contradict each other. The document must be valid. instances are the live
// processes of the fleet; if there are none, Warnings does not compare the document with
// the fleet.
func Warnings(doc config.Document, instances []Instance) []Finding {
	d := newDocument(doc)
	var out findings
	d.checkTeams(&out)
	d.checkPools(&out)
	d.checkModels(&out)
	d.checkAdapters(&out)
	d.checkRoutes(&out)
	d.checkDataCentres(&out)
	d.checkLimits(&out)
	if len(instances) > 0 {
		newFleet(d, instances).check(&out)
	}
	Sort(out)
	return out
}
