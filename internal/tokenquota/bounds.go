package tokenquota

import "time"

// Bounds are the platform's tolerances for exceeding an allowance.
type Bounds struct {
	// Window is the time over which a team's tokens are counted.
	Window time.Duration
	// Over is the fraction by which the allowance may be exceeded.
	Over float64
	// Slack is the number of tokens by which it may be exceeded in addition,
	// over all instances together.
	Slack float64
}

// Fractions of the tolerances that the shares include, so that requests which the
// platform tolerates are not refused. The rest covers short periods in which the
// instances disagree on the list of instances.
const (
	overFraction  = 0.8
	slackFraction = 0.7
)

// windowMargin covers the time until a request reaches its upstream, which is
// where the platform counts it.
const windowMargin = 250 * time.Millisecond

// allowance is the number of tokens that a team may spend in a window, over all
// instances together.
func (b Bounds) allowance(rate, burst float64) float64 {
	return (rate*b.Window.Seconds()+burst)*(1+overFraction*b.Over) + slackFraction*b.Slack
}
