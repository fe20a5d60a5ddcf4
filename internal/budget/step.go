package budget

// Step names a point in the grant protocol at which tests can pause or kill an
// instance.
type Step string

// Steps of the protocol.
const (
	SpendStart        Step = "spend_start"
	SpendTaken        Step = "spend_taken"
	RequestBeforeSend Step = "ask_before_send"
	RequestAnswered   Step = "ask_answered"
	GrantReceived     Step = "grant_received"
	GrantChecked      Step = "grant_checked"
	GrantTaken        Step = "grant_taken"
)

// Steps returns every step. The fault matrix of package fleetsim covers each one.
func Steps() []Step {
	return []Step{SpendStart, SpendTaken, RequestBeforeSend, RequestAnswered, GrantReceived, GrantChecked, GrantTaken}
}
