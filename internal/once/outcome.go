package once

// Outcome tells the entry instance how to go on: dispatch with Ticket, or
// answer with Result.
type Outcome struct {
	Ticket *Permit
	Result *Result
}
