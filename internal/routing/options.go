package routing

import "time"

// Options configure a Chooser.
type Options struct {
	// AffinityFactor and AffinitySlack bound affinity by load: a home that
	// caches the prefix is taken while its load is at most AffinityFactor times
	// that of the better of two random homes, plus AffinitySlack of its limit.
	// Defaults 1.5 and 0.1.
	AffinityFactor float64
	AffinitySlack  float64
	// MaxPrefixes is the most prefixes remembered. Default 65536.
	MaxPrefixes int
	// PrefixTTL is how long a prefix sent by this instance counts as cached
	// before an event confirms it. Default 10 s.
	PrefixTTL time.Duration
	// MinExclusion and MaxExclusion bound the time for which an upstream that
	// refused or failed is not chosen. Defaults 50 ms and 5 s.
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
