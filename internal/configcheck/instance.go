package configcheck

// Instance is a live process of the fleet.
type Instance struct {
	DataCentre string
	// Pool is the pool of the upstream beside the process; entry instances have none.
	Pool string
}
