package fleet

import "time"

// Autoscale are the limits of the number of servers of a service in each data centre.
type Autoscale struct {
	MinReplicas, MaxReplicas int
	// BootTime is how long a server takes from the order until it serves.
	BootTime time.Duration
}
