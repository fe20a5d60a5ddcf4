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

// Parts of the tolerances that are used. Refusing what the platform tolerates
// serves nobody. The rest covers instances that disagree for a moment on how
// many they are.
const (
	overUse  = 0.8
	slackUse = 0.7
)

// windowMargin covers the way of a request to its upstream, which is where the
// platform counts it.
const windowMargin = 250 * time.Millisecond

// allowance is what a team may spend in a window, over all instances.
func (b Bounds) allowance(rate, burst float64) float64 {
	return (rate*b.Window.Seconds()+burst)*(1+overUse*b.Over) + slackUse*b.Slack
}
