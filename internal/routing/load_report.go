package routing

// LoadReport is the load of an upstream as its agent reports it, in answers and
// periodically.
type LoadReport struct {
	Upstream string `json:"upstream"`
	// InFlight is the number of requests in flight from all entry instances.
	InFlight int `json:"in_flight"`
	// Limit is the agent's current limit of requests in flight.
	Limit int `json:"limit"`
}
