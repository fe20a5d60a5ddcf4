package configcheck

import "github.com/jacinthbend/jacinthbend/internal/record"

func (d *document) checkAdapters(out *findings) {
	for id, a := range d.Adapters {
		model := d.Models[a.Model]
		for i, team := range a.Teams {
			if !allowed(team, model.Teams) {
				out.warn(CodeTeamExcluded, entryPath(record.SectionAdapters, id, "teams").Index(i),
					"team %q may not use base model %q, so it cannot use the adapter; add the team to the model's teams, or remove it here", team, a.Model)
			}
		}
		if !d.hasCaller(a.Teams, model.Teams) {
			out.warn(CodeNoCaller, entryPath(record.SectionAdapters, id),
				"no team that may use adapter %q and its base model %q has a key, so nobody can call it; issue a key, or change the teams", id, a.Model)
		}
		if a.MaxReplicas > model.MaxReplicas {
			out.warn(CodeReplicasOverBase, entryPath(record.SectionAdapters, id, "max_replicas"),
				"the adapter may have %d replicas, but is loaded only beside its base model %q, which has at most %d; raise max_replicas of the model, or lower it here",
				a.MaxReplicas, a.Model, model.MaxReplicas)
		}
	}
}
