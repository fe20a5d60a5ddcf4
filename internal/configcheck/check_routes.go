package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func (d *document) checkRoutes(out *findings) {
	for id, r := range d.Routes {
		if r.Open {
			continue
		}
		if !d.hasCaller(r.Teams) {
			out.warn(CodeNoCaller, entryPath(record.SectionRoutes, id),
				"no team that may use route %q has a key, so nobody can call it; issue a key, change its teams, or open it", id)
		}
		d.checkCost(id, r, out)
	}
}

// checkCost compares the charge per call with what the teams of the route can spend
// at once. There is one finding for all teams of a route, because a route can be
// open to hundreds of teams.
func (d *document) checkCost(id string, r config.Route, out *findings) {
	var refused []string
	burst := 0.0
	for _, team := range slices.Sorted(maps.Keys(d.Teams)) {
		t := d.Teams[team]
		if allowed(team, r.Teams) && t.Capacity(config.GrantTTL) < r.CostTokens {
			refused = append(refused, team)
			burst = max(burst, burstFor(t, r.CostTokens))
		}
	}
	if len(refused) > 0 {
		out.warn(CodeCostOverBurst, entryPath(record.SectionRoutes, id, "cost_tokens"),
			"a call costs %s tokens, more than %s can spend at once (the burst less %v s of the rate), so each call is refused; lower the cost, or raise the burst to %.0f",
			formatNumber(r.CostTokens), listTeams(refused), config.GrantTTLSeconds, burst)
	}
}

// maxListedTeams keeps a message short if many teams are concerned.
const maxListedTeams = 3

func listTeams(ids []string) string {
	if len(ids) == 1 {
		return fmt.Sprintf("team %q", ids[0])
	}
	listed := ids[:min(len(ids), maxListedTeams)]
	text := "teams " + strings.Join(listed, ", ")
	if rest := len(ids) - len(listed); rest > 0 {
		text += fmt.Sprintf(" and %d more", rest)
	}
	return text
}
