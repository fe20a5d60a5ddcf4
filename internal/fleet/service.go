package fleet

// Service is a group of upstreams that run the same requests.
type Service struct {
	Name string
	// HealthPath answers 200 while an upstream of the service is well.
	HealthPath string
	// MaxConns bounds the connections to one upstream from all callers together.
	MaxConns int
	// MaxColdRate is how many requests a second a cold upstream bears; 0 is no limit.
	MaxColdRate float64
	// Engine is nil for services without models.
	Engine *Engine
}
