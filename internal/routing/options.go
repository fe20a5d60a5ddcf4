package routing

import "time"

// Options configure a Chooser.
type Options struct {
	// AffinityFactor and AffinitySlack limit prefix affinity. A home that caches a
	// prefix is chosen if its load is at most AffinityFactor times the load of the
	// less loaded of two random homes, plus AffinitySlack. A load of 1 is the
	// upstream's limit of requests in flight. Defaults 1.5 and 0.1.
	AffinityFactor float64
	AffinitySlack  float64
	// MaxPrefixes is the maximum number of prefixes for which cache entries are kept.
	// Default 65536.
	MaxPrefixes int
	// PrefixTTL is how long the prefix of a request sent by this instance counts as
	// cached without a cache event that confirms it. Default 10 s.
	PrefixTTL time.Duration
	// MinExclusion and MaxExclusion are the lower and upper limit of the time for
	// which an upstream is excluded after a refusal or failure. Defaults 50 ms and
	// 5 s.
	MinExclusion time.Duration
	MaxExclusion time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.AffinityFactor, 1.5)
	setDefault(&o.AffinitySlack, 0.1)
	setDefault(&o.MaxPrefixes, 65536)
	setDefault(&o.PrefixTTL, 10*time.Second)
	setDefault(&o.MinExclusion, 50*time.Millisecond)
	setDefault(&o.MaxExclusion, 5*time.Second)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
