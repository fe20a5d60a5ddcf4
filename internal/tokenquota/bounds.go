package tokenquota

import "time"

// Bounds are the platform's limits on exceeding a quota.
type Bounds struct {
	// Window is the time over which a team's tokens are counted.
	Window time.Duration
	// Over is the fraction by which the allowance may be exceeded.
	Over float64
	// Slack is the number of tokens by which it may be exceeded in addition,
	// over all instances together.
	Slack float64
}

// Fractions of the tolerances that are used, since refusing requests that the
// platform tolerates helps nobody. The rest is left for instances that briefly
// disagree on how many they are.
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
