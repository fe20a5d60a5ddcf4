package routing

// LoadReport is what an agent says of its upstream, in answers and periodically.
type LoadReport struct {
	Upstream string `json:"upstream"`
	// InFlight counts the requests of all entry instances.
	InFlight int `json:"in_flight"`
	// Limit is the agent's current limit of requests in flight.
	Limit int `json:"limit"`
}
