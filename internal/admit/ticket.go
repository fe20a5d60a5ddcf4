package admit

// Ticket identifies an admitted request; Limiter.Done takes it back.
type Ticket struct {
	epoch uint64
}
