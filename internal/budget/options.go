package budget

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// Defaults of Options.
const (
	// DefaultMaxViewAge equals freshness.ViewBound.
	DefaultMaxViewAge = 3 * time.Second
	DefaultGrantTTL   = config.GrantTTL
	// DefaultRequestTimeout is several times the round trip between regions.
	DefaultRequestTimeout = 100 * time.Millisecond
	// DefaultRequestsPerS keeps grant messages within 8 KB/s, at about 480 bytes
	// per request and answer. That is a third of the 22 KB/s allowed for all
	// control traffic.
	DefaultRequestsPerS = 15
)

// Options configure an Owner and a Holder.
type Options struct {
	// Self is the incarnation of this instance.
	Self string
	// MaxViewAge is the view age above which Fleet.MayWork is false on every
	// instance. A new owner of a share waits this long before it issues tokens,
	// so that the previous owner has stopped. Default DefaultMaxViewAge.
	MaxViewAge time.Duration
	// GrantTTL is how long a grant is valid. Default DefaultGrantTTL.
	GrantTTL time.Duration
	// RequestTimeout limits one call to an owner. Default DefaultRequestTimeout.
	RequestTimeout time.Duration
	// RequestsPerS limits the average rate of grant requests to other instances,
	// for all teams together. RequestBurst of them may be sent at once.
	// Defaults DefaultRequestsPerS and 64.
	RequestsPerS float64
	RequestBurst int
	// OnStep is called at each Step without locks held, so that tests can pause
	// or stop the instance there. May be nil.
	OnStep func(Step)
	// OnSpend is called for each change of the tokens spent. May be nil.
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
