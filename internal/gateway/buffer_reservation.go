package gateway

import (
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
)

// defaultMaxBufferedBytes is the limit of the buffers if there is no budget.
const defaultMaxBufferedBytes = 64 << 20

// errBuffersFull means that the buffers of all requests have reached their limit.
var errBuffersFull = errors.New("the instance has no memory left to buffer the response")

// bufferReservation is the part of the gateway's buffer budget that one request
// holds.
type bufferReservation struct {
	budget *clientbudget.Share
	held   int
}

// resize changes the reservation to n bytes. It reports whether they are available;
// if not, the reservation stays as it is.
func (b *bufferReservation) resize(n int) bool {
	if !b.budget.Resize(int64(b.held), int64(n)) {
		return false
	}
	b.held = n
	return true
}

func (b *bufferReservation) release() { b.resize(0) }
