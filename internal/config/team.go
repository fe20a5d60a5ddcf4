package config

import "time"

// AssumedCompletionTokens is the length of a completion that is reserved from the
// team's budget for a request that sets no max_tokens.
const AssumedCompletionTokens = 256

// Team is a customer of the fleet with its token budget.
type Team struct {
	// RateTokensPerS is the sustained rate over the whole fleet, in tokens per second.
	RateTokensPerS float64 `json:"rate_tokens_per_s"`
	// BurstTokens is the maximum that may be spent at once, in tokens.
	BurstTokens float64 `json:"burst_tokens"`
	// Weight is the team's weight in fair queueing, relative to the other teams. Default 1.
	Weight float64 `json:"weight,omitempty"`
}

// Capacity returns the number of tokens that the team can spend at once if grants
// live for ttl. It is the burst less what the rate yields within ttl, because
// tokens may be spent up to ttl after they were issued.
func (t Team) Capacity(ttl time.Duration) float64 {
	return max(0, t.BurstTokens-t.RateTokensPerS*ttl.Seconds())
}
