package config

// Team is a customer of the fleet with its token budget.
type Team struct {
	// RateTokensPerS is the sustained rate over the whole fleet, in tokens per second.
	RateTokensPerS float64 `json:"rate_tokens_per_s"`
	// BurstTokens is the maximum that may be spent at once, in tokens.
	BurstTokens float64 `json:"burst_tokens"`
	// Weight is the team's weight in fair queueing, relative to the other teams. Default 1.
	Weight float64 `json:"weight,omitempty"`
}
