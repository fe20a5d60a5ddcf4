package fleet

// ServerLoad is the load that an upstream states in a response.
type ServerLoad struct {
	// Running and Waiting are the upstream's running and queued requests, Slots how
	// many it runs at once.
	Running, Waiting, Slots int
	// WorkTime is how long work takes on the machine at this moment, relative to
	// its usual time: 1 is as usual, 0 means that it is not stated.
	WorkTime float64
}
