package config

// Route forwards calls under /svc/{id}/ to the plain services of one pool.
type Route struct {
	// Pool is the id of the service pool.
	Pool string `json:"pool"`
	// Open routes accept calls without a key.
	Open bool `json:"open,omitempty"`
	// Repeatable calls may be retried; other calls need an Idempotency-Key and run at most once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Methods are the accepted HTTP methods. Default ["POST"].
	Methods []string `json:"methods,omitempty"`
	// Teams are the ids of the teams that may use the route; empty means all teams.
	Teams []string `json:"teams,omitempty"`
	// CostTokens is the charge per call to the team's budget, in tokens. Default 1.
	CostTokens float64 `json:"cost_tokens,omitempty"`
}
