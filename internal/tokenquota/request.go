package tokenquota

import "github.com/jacinthbend/jacinthbend/internal/admission"

// Request asks for tokens of a team's quota.
type Request struct {
	admission.Ask
	// Missing are the tokens that are still needed, at most those of the Ask.
	Missing float64
	// Counted tells that the request has been counted as demand, here or at another holder.
	Counted bool
}

// NewRequest returns the request for all tokens of ask.
func NewRequest(ask admission.Ask) Request { return Request{Ask: ask, Missing: ask.Tokens} }
