package fleetsim

// Rule is a rule that the bound of H7 rests on.
type Rule string

// Rules that a scenario can switch off.
const (
	// TakeoverWait makes a new owner wait until the old one has stopped.
	TakeoverWait Rule = "takeover wait"
	// ViewAgeLimit stops owners and holders whose view is too old.
	ViewAgeLimit Rule = "view age"
	// GrantExpiry ends a grant on its holder's clock.
	GrantExpiry Rule = "grant life"
)

// Rules lists every rule that can be switched off.
func Rules() []Rule { return []Rule{TakeoverWait, ViewAgeLimit, GrantExpiry} }
