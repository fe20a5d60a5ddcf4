package budget

// Step names a place in the grant protocol at which a process can be paused
// or killed.
type Step string

// Steps of the protocol.
const (
	SpendStart   Step = "spend_start"
	SpendTaken   Step = "spend_taken"
	RequestBeforeSend    Step = "ask_before_send"
	RequestAnswered  Step = "ask_answered"
	GrantReceived   Step = "grant_received"
	GrantChecked Step = "grant_checked"
	GrantTaken   Step = "grant_taken"
)

// Steps lists every step; the fault matrix has a row for each.
func Steps() []Step {
	return []Step{SpendStart, SpendTaken, RequestBeforeSend, RequestAnswered, GrantReceived, GrantChecked, GrantTaken}
}
