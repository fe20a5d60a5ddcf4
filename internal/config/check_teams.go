package config

import (
	"maps"
	"regexp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// GrantTTL is the lifetime of a grant of a team's token budget. Section 9.2 of the
// design page derives the bound on bursts from it.
const GrantTTL = 500 * time.Millisecond

// GrantTTLSeconds is GrantTTL in seconds.
const GrantTTLSeconds = float64(GrantTTL) / float64(time.Second)

// minBurstGrants is the minimum burst of a team, counted in grants: the grant of
// the previous interval may still be outstanding when the next one is issued.
const minBurstGrants = 2

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (c *checker) checkTeams() {
	for id, team := range c.doc.Teams {
		loc := locationOf(record.SectionTeams, id)
		c.checkPositive(loc.Field("rate_tokens_per_s"), team.RateTokensPerS, maxTokens)
		checkRange(c, loc.Field("burst_tokens"), team.BurstTokens, 0, maxTokens)
		checkRange(c, loc.Field("weight"), team.Weight, 0, maxWeight)
		minBurst := minBurstGrants * team.RateTokensPerS * GrantTTLSeconds
		if finite(minBurst) && team.BurstTokens < minBurst {
			c.add(RuleConflict, loc.Field("burst_tokens"), team.BurstTokens,
				"must be at least %v, which is %d x the rate x %v s", minBurst, minBurstGrants, GrantTTLSeconds)
		}
	}
}

func (c *checker) checkKeys() {
	idByHash := make(map[string]string, len(c.doc.Keys))
	for _, id := range slices.Sorted(maps.Keys(c.doc.Keys)) {
		key := c.doc.Keys[id]
		loc := locationOf(record.SectionKeys, id)
		if _, ok := c.doc.Teams[key.Team]; !ok {
			c.add(RuleReference, loc.Field("team"), key.Team, "there is no such team")
		}
		if len(key.Note) > maxNoteBytes {
			c.add(RuleRange, loc.Field("note"), key.Note, "must have at most %d bytes", maxNoteBytes)
		}
		if !hashPattern.MatchString(key.SHA256) {
			c.add(RuleFormat, loc.Field("sha256"), key.SHA256, "must be 64 lower-case hexadecimal digits")
			continue
		}
		if other, ok := idByHash[key.SHA256]; ok {
			c.add(RuleRepeated, loc.Field("sha256"), key.SHA256, "is also the hash of key %q", other)
			continue
		}
		idByHash[key.SHA256] = id
	}
}

func (c *checker) checkDataCentres() {
	for id, dc := range c.doc.DataCentres {
		loc := locationOf(record.SectionDataCentres, id)
		if !idPattern.MatchString(dc.Region) {
			c.add(RuleFormat, loc.Field("region"), dc.Region, "a region must match %s", idPattern)
		}
		if dc.State != "" && dc.State != DataCentreIn && dc.State != DataCentreOut {
			c.add(RuleFormat, loc.Field("state"), string(dc.State), "must be %q or %q", DataCentreIn, DataCentreOut)
		}
	}
}
