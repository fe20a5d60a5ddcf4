package fleet

// Upstream is what the platform's list says of one upstream.
type Upstream struct {
	// ID names one start of an upstream, mostly.
	ID string
	// StartedAtMS tells two starts under one ID apart, in Unix milliseconds; 0 is unknown.
	StartedAtMS       int64
	Service    string
	Addr       string
	DataCentre string
	Capacity   int
	Draining   bool
	// ColdLeftMS is how much longer the upstream is cold, in ms, as of its heartbeat.
	ColdLeftMS int64
	// Holdings is nil for services without models.
	Holdings *Holdings
}
