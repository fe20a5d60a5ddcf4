package fleet

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path that answers 200 while an upstream is healthy.
	HealthPath string
	// MaxConns bounds the connections to one upstream from all its clients together.
	MaxConns int
	// MaxColdRate is how many requests a second an upstream can serve while it is
	// cold, that is, still warming up; 0 is no limit.
	MaxColdRate float64
	// Engine is nil for services without models.
	Engine *Engine
	// Autoscale is nil for services whose number of servers is not decided here.
	Autoscale *Autoscale
}
