package configcheck

import "github.com/jacinthbend/jacinthbend/internal/record"

func (d *document) checkModels(out *findings) {
	for id, m := range d.Models {
		if !d.hasCaller(m.Teams) {
			out.warn(CodeNoCaller, entryPath(record.SectionModels, id),
				"no team that may use model %q has a key, so nobody can call it; issue a key, or change its teams", id)
		}
	}
}
