package autoscale

import "time"

// State is what Decide remembers of a service. The zero value remembers nothing.
type State struct {
	dataCentres map[string]memory
}

// memory is what is remembered of a data centre.
type memory struct {
	desired int
	// surplusSince is since when fewer servers than desired have been enough, zero if they are not.
	surplusSince time.Time
	// samples are the demands of the last time, oldest first.
	samples []sample
}

// sample is the demand at a time, in requests that run at once.
type sample struct {
	at   time.Time
	busy float64
}
