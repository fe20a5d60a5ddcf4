package loadqueue

import "time"

// waiter is a request that waits for a slot.
type waiter struct {
	SlotRequest
	// seq is the sequence number of the request.
	seq      uint64
	deadline time.Time
	// lastAsked is when the agent last sent the request.
	lastAsked time.Time
	// ready is closed when the slot is granted.
	ready chan struct{}
}

// lease is a granted slot.
type lease struct {
	HeldSlot
	expires time.Time
}
