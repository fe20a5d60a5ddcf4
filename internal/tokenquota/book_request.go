package tokenquota

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/admission"
)

// BookRequest asks a holder to book tokens for a request that was refused.
type BookRequest struct {
	admission.Ask
	// Piece are the tokens to book here. A request that is large for the share of one holder
	// has pieces booked at several.
	Piece float64
	// NotBefore is when all pieces are free. A piece that is booked earlier is moved to it.
	NotBefore time.Duration
	// Returned are tokens that the holder lent for the request, which did not spend them.
	Returned float64
}
