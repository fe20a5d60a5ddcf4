package spill

// Reason tells why a request left its data centre.
type Reason string

// Reasons for leaving.
const (
	// NoneHere means that no usable upstream of the own data centre serves the request.
	NoneHere Reason = "none"
	// Late means that the request would miss its objective here.
	Late Reason = "late"
	// Full means that all places are taken here, but not elsewhere.
	Full Reason = "full"
	// Load means that an adapter or model would have to be loaded here.
	Load Reason = "load"
	// Cache means that the prompt is cached elsewhere.
	Cache Reason = "cache"
	// Failure means that the upstreams here fail, or that their streams pause.
	Failure Reason = "failure"
	// Queue means that requests wait here, and Delay that the upstreams here are slower.
	Queue Reason = "queue"
	Delay Reason = "delay"
	// Returning means that the request could stay, but the share that leaves falls only
	// gradually.
	Returning Reason = "returning"
	// Other means that the decision was not asked: a load chose the upstream, a slow upstream
	// was tested again, or no weight is set.
	Other Reason = "other"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{NoneHere, Late, Full, Load, Cache, Failure, Queue, Delay, Returning, Other}
}
