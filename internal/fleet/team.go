package fleet

// Team is a tenant of the system.
type Team struct {
	Name string
	Keys []string
	// Priority goes before that of the route when HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst bound the team over all instances together, in tokens per
	// second and tokens, or in requests when CountsRequests is set. A Rate of 0
	// is no limit.
	Rate, Burst    float64
	CountsRequests bool
	// DefaultTokens is what a request without a token count costs.
	DefaultTokens float64
}
