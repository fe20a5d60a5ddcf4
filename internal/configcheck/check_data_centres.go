package configcheck

import (
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func (d *document) checkDataCentres(out *findings) {
	for _, dc := range d.DataCentres {
		if dc.In() {
			return
		}
	}
	if len(d.DataCentres) > 0 {
		out.warn(CodeAllOut, config.Root.Field(string(record.SectionDataCentres)),
			"every data centre is out, so none takes new work; set the state of one to %q", config.DataCentreIn)
	}
}
