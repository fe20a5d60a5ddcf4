package configcheck

import (
	"math"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func (d *document) checkTeams(out *findings) {
	for id, team := range d.Teams {
		if _, ok := slices.BinarySearch(d.withKey, id); !ok {
			out.warn(CodeTeamWithoutKey, entryPath(record.SectionTeams, id),
				"no key belongs to team %q, so nobody can act for it; issue one with `jacinthbend key issue %s`, or delete the team", id, id)
		}
		if capacity := team.Capacity(config.GrantTTL); capacity < config.AssumedCompletionTokens && d.usesModels(id) {
			out.warn(CodeBurstBelowRequest, entryPath(record.SectionTeams, id, "burst_tokens"),
				"the team can spend %.0f tokens at once (the burst less %v s of the rate), but a request that sets no max_tokens reserves at least %d and is refused; "+
					"set the burst to at least %.0f", math.Floor(capacity), config.GrantTTLSeconds, config.AssumedCompletionTokens, burstFor(team, config.AssumedCompletionTokens))
		}
	}
}

// burstFor returns the smallest whole burst with which the team can spend tokens at
// once.
func burstFor(team config.Team, tokens float64) float64 {
	return math.Ceil(tokens + team.RateTokensPerS*config.GrantTTLSeconds)
}

func (d *document) usesModels(team string) bool {
	for _, m := range d.Models {
		if allowed(team, m.Teams) {
			return true
		}
	}
	return false
}
