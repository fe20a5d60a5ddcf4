package budget

import "time"

// grant is an amount of tokens that the owner of a share issued to this holder.
// The holder may spend them until the grant expires.
type grant struct {
	id      uint64
	share   int
	tokens  float64
	expires time.Time
	// partial is set if several shares were asked to cover one request together.
	// What is left of the grant returns to its owner when no request waits.
	partial bool
}
