package fleetsim

// Rule names one of the rules that keep a team within its rate and burst (H7).
type Rule string

// Rules that a scenario can disable.
const (
	// TakeoverWait makes a new owner wait until the previous one has stopped.
	TakeoverWait Rule = "takeover wait"
	// ViewAgeLimit stops owners and holders whose view is too old.
	ViewAgeLimit Rule = "view age"
	// GrantExpiry makes a grant expire on its holder's clock.
	GrantExpiry Rule = "grant expiry"
)

// Rules returns the rules that a scenario can disable.
func Rules() []Rule { return []Rule{TakeoverWait, ViewAgeLimit, GrantExpiry} }
