package budget

import "time"

// Defaults of Options.
const (
	DefaultMaxViewAge = 3 * time.Second
	DefaultGrantTTL  = 500 * time.Millisecond
	// DefaultRequestTimeout exceeds the round trip between regions several times.
	DefaultRequestTimeout = 100 * time.Millisecond
	// DefaultRequestsPerS keeps grant messages within 8 KB/s at about 480 bytes for
	// a request with its answer, a third of the 22 KB/s for all control traffic.
	DefaultRequestsPerS = 15
)

// Options configure an Owner and a Holder.
type Options struct {
	// Self is the incarnation of this instance.
	Self string
	// MaxViewAge is the takeover wait. Default DefaultViewBound.
	MaxViewAge time.Duration
	// GrantTTL is the life of a grant. Default DefaultGrantTTL.
	GrantTTL time.Duration
	// RequestTimeout bounds one call to an owner. Default DefaultAskTimeout.
	RequestTimeout time.Duration
	// RequestsPerS limits the grant requests to other instances, in messages a
	// second on average over all teams; AskBurst may be sent at once.
	// Defaults DefaultAsksPerS and 64.
	RequestsPerS float64
	RequestBurst int
	// OnStep is called at each named step outside of locks, so that tests can
	// pause there. May be nil.
	OnStep func(Step)
	// OnSpend is called with each change of the tokens spent. May be nil.
	OnSpend func(Charge)
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxViewAge, DefaultMaxViewAge)
	setDefault(&o.GrantTTL, DefaultGrantTTL)
	setDefault(&o.RequestTimeout, DefaultRequestTimeout)
	setDefault(&o.RequestsPerS, DefaultRequestsPerS)
	setDefault(&o.RequestBurst, 64)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o *Options) step(s Step) {
	if o.OnStep != nil {
		o.OnStep(s)
	}
}
