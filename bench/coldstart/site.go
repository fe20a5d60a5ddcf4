// Package coldstart measures the policies for cold starts by simulation. It compares
// the order of the load queue with first come first served, and the learned
// keep-warm time with a fixed one. It runs the product's own decision code.
package coldstart

import "time"

// Site describes one user's deployment: models, weight store and burst traffic.
type Site struct {
	Name string
	// Models is the number of base models. A burst may request any of them.
	Models int
	// Adapters is the number of adapters, spread over the models.
	Adapters int
	// Homes is the number of homes of a model: the upstreams on which it may be loaded.
	Homes int
	// LoadsPerS limits how many loads the weight store starts a second, and
	// MaxConcurrentLoads how many it runs at the same time.
	LoadsPerS          float64
	MaxConcurrentLoads int
	// LoadTime is the mean time to load a model, AdapterLoadTime that to load an
	// adapter.
	LoadTime, AdapterLoadTime time.Duration
	// Requests is the number of requests in a burst. They arrive within about
	// ArrivalSpan.
	Requests    int
	ArrivalSpan time.Duration
	// UrgentShare is the fraction of requests that are urgent. UrgentDeadline and
	// BulkDeadline are the times from arrival to deadline.
	UrgentShare                  float64
	UrgentDeadline, BulkDeadline time.Duration
}

// Sites returns the two deployments in section 1 of the design.
func Sites() []Site {
	return []Site{
		{
			Name: "Association", Models: 30, Adapters: 60, Homes: 2, LoadsPerS: 1.6, MaxConcurrentLoads: 4,
			LoadTime: 2500 * time.Millisecond, AdapterLoadTime: 8 * time.Millisecond,
			Requests: 600, ArrivalSpan: 3 * time.Second, UrgentShare: 0.7, UrgentDeadline: 30 * time.Second, BulkDeadline: 10 * time.Minute,
		},
		{
			Name: "Mugcraft", Models: 40, Adapters: 95, Homes: 2, LoadsPerS: 4, MaxConcurrentLoads: 4,
			LoadTime: time.Second, AdapterLoadTime: 5 * time.Millisecond,
			Requests: 1200, ArrivalSpan: 3 * time.Second, UrgentShare: 0.5, UrgentDeadline: 15 * time.Second, BulkDeadline: 10 * time.Minute,
		},
	}
}
