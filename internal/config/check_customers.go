package config

import (
	"maps"
	"regexp"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// GrantTTLSeconds is the life of a budget grant, in seconds. Section 9.2 of the
// design page derives the bound on bursts from it.
const GrantTTLSeconds = 0.5

// burstGrants is the least burst of a team in grants: one may be outstanding
// from the interval before while the next one is issued.
const burstGrants = 2

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (c *checker) checkTeams() {
	for id, team := range c.doc.Teams {
		path := at(record.SectionTeams, id)
		c.positive(path.Field("rate_tokens_per_s"), team.RateTokensPerS, maxTokens)
		within(c, path.Field("burst_tokens"), team.BurstTokens, 0, maxTokens)
		within(c, path.Field("weight"), team.Weight, 0, maxWeight)
		least := burstGrants * team.RateTokensPerS * GrantTTLSeconds
		if finite(least) && team.BurstTokens < least {
			c.add(path.Field("burst_tokens"), team.BurstTokens,
				"must be at least %v, which is %d x the rate x %v s", least, burstGrants, GrantTTLSeconds)
		}
	}
}

func (c *checker) checkKeys() {
	owner := make(map[string]string, len(c.doc.Keys))
	for _, id := range slices.Sorted(maps.Keys(c.doc.Keys)) {
		key := c.doc.Keys[id]
		path := at(record.SectionKeys, id)
		if _, ok := c.doc.Teams[key.Team]; !ok {
			c.add(path.Field("team"), key.Team, "there is no such team")
		}
		if len(key.Note) > maxNoteBytes {
			c.add(path.Field("note"), key.Note, "must have at most %d bytes", maxNoteBytes)
		}
		if !hashPattern.MatchString(key.SHA256) {
			c.add(path.Field("sha256"), key.SHA256, "must be 64 lower-case hexadecimal digits")
			continue
		}
		if first, ok := owner[key.SHA256]; ok {
			c.add(path.Field("sha256"), key.SHA256, "is also the hash of key %q", first)
			continue
		}
		owner[key.SHA256] = id
	}
}

func (c *checker) checkDataCentres() {
	for id, dc := range c.doc.DataCentres {
		path := at(record.SectionDataCentres, id)
		if !idPattern.MatchString(dc.Region) {
			c.add(path.Field("region"), dc.Region, "a region must match %s", idPattern)
		}
		if dc.State != "" && dc.State != DataCentreIn && dc.State != DataCentreOut {
			c.add(path.Field("state"), string(dc.State), "must be %q or %q", DataCentreIn, DataCentreOut)
		}
	}
}
