package fleet

// Team is a tenant of the system.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst limit the team over all instances together, in tokens per
	// second and tokens, or in requests if CountsRequests is set. A Rate of 0 is no
	// limit.
	Rate, Burst    float64
	CountsRequests bool
	// DefaultTokens is the cost of a request that states no token counts.
	DefaultTokens float64
}
