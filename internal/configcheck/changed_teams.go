package configcheck

import "github.com/jacinthbend/jacinthbend/internal/config"

func (c *comparison) removedTeam(id string, path config.Path, _ config.Team) {
	c.found.risk(CodeTeamRemoved, path, "team %q is removed: its keys end, and its calls are refused; make sure that it has no callers", id)
}

func (c *comparison) changedTeam(_ string, path config.Path, old, next config.Team) {
	compareNumber(c, path.Field("rate_tokens_per_s"), "the rate in tokens per second", old.RateTokensPerS, next.RateTokensPerS,
		"calls above it are refused; check what the team uses")
	compareNumber(c, path.Field("burst_tokens"), "the burst in tokens", old.BurstTokens, next.BurstTokens,
		"larger calls, and more calls at once, are refused; check what the team uses")
	compareNumber(c, path.Field("weight"), "the weight", old.Weight, next.Weight,
		"the team waits longer while other teams queue")
}
