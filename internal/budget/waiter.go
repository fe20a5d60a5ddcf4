package budget

// waiter is a queued request that waits for tokens.
type waiter struct {
	tokens float64
	// done receives one outcome; its capacity is 1.
	done chan outcome
}

type outcome struct {
	res Reservation
	err error
}
