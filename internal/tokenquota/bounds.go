package tokenquota

import "time"

// Bounds are the platform's terms for quotas.
type Bounds struct {
	// Window is the span over which a team's tokens are counted.
	Window time.Duration
	// Over is the share by which the allowance may be exceeded.
	Over float64
	// Slack is what may be exceeded beyond that, in tokens, over all instances.
	Slack float64
}

// toleranceUse is the part of the tolerances that a restart may use; the rest
// covers instances that are not known yet.
const toleranceUse = 0.8

// windowMargin covers the way of a request to its upstream, which is where the
// platform counts it.
const windowMargin = 250 * time.Millisecond

// allowance is what a team may spend in a window, over all instances.
func (b Bounds) allowance(rate, burst float64) float64 {
	return rate*b.Window.Seconds() + burst
}

// restartGrant is the part of its share that a restarted instance may spend at
// once, though an earlier start of it may have spent the whole: the tolerances
// bear that once in a window.
func (b Bounds) restartGrant(rate, burst float64) float64 {
	return min(1, toleranceUse*(b.Over+b.Slack/b.allowance(rate, burst)))
}
