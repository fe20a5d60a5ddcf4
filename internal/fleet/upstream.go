package fleet

// Upstream is an entry of the platform's list of upstreams.
type Upstream struct {
	// ID is the instance id of the upstream. It usually changes when the upstream
	// restarts.
	ID string
	// StartedAtMS is when the upstream started, in Unix milliseconds; 0 is unknown.
	// It distinguishes restarts that keep the ID.
	StartedAtMS int64
	Service     string
	// Version is the version of the upstream's software, or empty if it names none. Versions
	// have no order. What two versions write does not fit together.
	Version    string
	Addr       string
	DataCentre string
	Capacity   int
	Draining   bool
	// ColdLeftMS is how much longer the upstream stays cold, in ms, as of its last
	// heartbeat.
	ColdLeftMS int64
	// Holdings is nil for services without models.
	Holdings *Holdings
}
