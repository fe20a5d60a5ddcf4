package atmostonce

// Decision tells the entry instance what to do next: dispatch the call with
// Permit, or answer with Result. Exactly one of the two is set.
type Decision struct {
	Permit *Permit
	Result *Result
}
