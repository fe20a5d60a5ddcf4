package controlstate

import (
	"fmt"

	"github.com/jacinthbend/jacinthbend/internal/cowmap"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// minBurstS is the minimum burst of a team, in seconds of its token rate. It is
// twice the lifetime of a grant in package budget: buckets there hold the burst less
// the tokens that may be in unexpired grants, and with a small burst nothing would
// be left (H7).
const minBurstS = 1.0

// checkEntry validates one changed config entry. It runs after all entries of
// the change have been applied, so that one change can add a team together with
// its keys. It checks only the references to and from this entry, because the
// references among unchanged entries were checked by earlier changes.
func (v *View) checkEntry(c record.EntryChange) error {
	if c.ID == "" {
		return fmt.Errorf("entry without id")
	}
	if isDeletion(c) {
		return v.checkDeletion(c)
	}
	switch c.Section {
	case record.SectionTeams:
		return v.checkTeam(c.ID)
	case record.SectionKeys:
		key, _ := v.Keys.Get(c.ID)
		return requireEntry(v.Teams, "team", key.Team)
	case record.SectionModels:
		model, _ := v.Models.Get(c.ID)
		return requireEntry(v.Pools, "pool", model.Pool)
	case record.SectionAdapters:
		adapter, _ := v.Adapters.Get(c.ID)
		return requireEntry(v.Models, "model", adapter.Model)
	case record.SectionRoutes:
		route, _ := v.Routes.Get(c.ID)
		return requireEntry(v.Pools, "pool", route.Pool)
	default:
		return nil
	}
}

func (v *View) checkTeam(id string) error {
	team, _ := v.Teams.Get(id)
	if team.RateTokensPerS < 0 || team.BurstTokens < team.RateTokensPerS*minBurstS {
		return fmt.Errorf("burst of %g tokens is below the rate of %g tokens/s for %g s",
			team.BurstTokens, team.RateTokensPerS, minBurstS)
	}
	return nil
}

// checkDeletion returns an error if other config entries still refer to the
// deleted one. It scans one or two whole sections, since deletions are rare.
func (v *View) checkDeletion(c record.EntryChange) error {
	switch c.Section {
	case record.SectionTeams:
		for _, key := range v.Keys.All() {
			if key.Team == c.ID {
				return fmt.Errorf("a key still names it")
			}
		}
	case record.SectionPools:
		return v.checkPoolUnused(c.ID)
	case record.SectionModels:
		for _, adapter := range v.Adapters.All() {
			if adapter.Model == c.ID {
				return fmt.Errorf("an adapter still names it")
			}
		}
	}
	return nil
}

func (v *View) checkPoolUnused(id string) error {
	for _, model := range v.Models.All() {
		if model.Pool == id {
			return fmt.Errorf("a model still names it")
		}
	}
	for _, route := range v.Routes.All() {
		if route.Pool == id {
			return fmt.Errorf("a route still names it")
		}
	}
	return nil
}

// requireEntry returns an error if the table has no entry with the id. The error
// names no other entry: the iteration order of a table is random, and every
// instance must return the same reason for the same record.
func requireEntry[V any](table *cowmap.Table[V], kind, id string) error {
	if _, ok := table.Get(id); !ok {
		return fmt.Errorf("%s %q does not exist", kind, id)
	}
	return nil
}
