package policy

import "github.com/jacinthbend/jacinthbend/internal/config"

// deployment is the size of one user's deployment. The values of slots and speed are
// assumptions; the results depend only on their product.
type deployment struct {
	name    string
	entries int
	dcs     int
	servers int
	// slots is the number of requests that one server runs concurrently.
	slots int
	// speed is the throughput of one slot in tokens a second.
	speed float64
}

func deployments() []deployment {
	return []deployment{
		{name: "Association", entries: 6, dcs: 3, servers: 9, slots: 8, speed: 30},
		{name: "Mugcraft", entries: 8, dcs: 4, servers: 18, slots: 8, speed: 30},
	}
}

// capacity returns the throughput of all servers in tokens a second.
func (d deployment) capacity() float64 { return float64(d.servers*d.slots) * d.speed }

// teamQuotas returns the token buckets of five teams of very different sizes. The
// smallest have bursts of a few hundred tokens.
func teamQuotas() map[string]config.Team {
	return map[string]config.Team{
		"large-1": {RateTokensPerS: 20_000, BurstTokens: 60_000},
		"large-2": {RateTokensPerS: 10_000, BurstTokens: 30_000},
		"medium":  {RateTokensPerS: 1000, BurstTokens: 3000},
		"small-1": {RateTokensPerS: 100, BurstTokens: 300},
		"small-2": {RateTokensPerS: 50, BurstTokens: 300},
	}
}

// teamWeights returns the weight of each team in the fair queue.
func teamWeights() []float64 { return []float64{3, 3, 1, 1, 1} }
