package tokenquota

// Bounds are the platform's tolerances.
type Bounds struct {
	// Over is the share by which rate and burst may be exceeded.
	Over float64
	// Slack is what may be exceeded beyond that in any window, in tokens, over
	// all instances.
	Slack float64
}

// Parts of the tolerances that are used. The rest covers instances that are
// not known yet and balances that were lost with their instance and granted anew.
const (
	rateUse = 0.6
	// burstUse of the slack is added to the burst of all instances.
	burstUse = 0.2
	// debtUse of the slack is what all balances may fall below zero, so that a
	// request larger than one balance need not wait.
	debtUse = 0.35
)
