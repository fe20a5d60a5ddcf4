package assignment

// Options limit the imbalance and the moves of a plan.
type Options struct {
	// Slack is how far the memory of an upstream's homes may exceed the mean of
	// its pool, as a fraction of the mean. Default 0.25, the usual compromise
	// between balance and moves in rendezvous hashing with bounded loads.
	Slack float64
	// MaxMoves is the largest number of model homes that one plan takes from
	// live upstreams. It bounds the cold loads that follow when a data centre
	// leaves or returns. Default 32.
	MaxMoves int
}

// WithDefaults returns o with every zero field set to its default.
func (o Options) WithDefaults() Options {
	if o.Slack == 0 {
		o.Slack = 0.25
	}
	if o.MaxMoves == 0 {
		o.MaxMoves = 32
	}
	return o
}
