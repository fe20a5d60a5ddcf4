package autoscale

import "time"

// Limits are those of a service in each data centre.
type Limits struct {
	Min, Max int
	// Boot is how long a server takes from the order until it serves.
	Boot time.Duration
}

// DataCentre is the state of a service in a data centre.
type DataCentre struct {
	// Running are the servers that serve and do not leave, and Slots how many requests each runs at
	// once.
	Running, Slots int
	// Busy is how many requests run there on average, over all instances.
	Busy float64
	// Out tells that the data centre gets no requests. The others need what it needed.
	Out bool
	// Ordered is the number of servers that was ordered last, 0 if unknown.
	Ordered int
}

// Input is what Decide depends on.
type Input struct {
	Now         time.Time
	Limits      Limits
	DataCentres map[string]DataCentre
	// SurviveLoss tells that the service must stay available when a data centre is lost.
	SurviveLoss bool
}
