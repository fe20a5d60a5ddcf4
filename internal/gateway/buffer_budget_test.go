package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
)

// TestLargeResponsesFillBuffers guards against small responses that find no room, because large ones,
// those without an end among them, hold the whole buffer budget.
func TestLargeResponsesFillBuffers(t *testing.T) {
	check := is.New(t)
	const limit, step, small = 16 << 20, 64 << 10, 60 << 10
	budget := clientbudget.NewShare(limit)
	var large []*bufferReservation
	for range 60 {
		r := &bufferReservation{budget: budget}
		for r.resize(r.held + step) {
		}
		large = append(large, r)
	}
	for range 3 {
		r := &bufferReservation{budget: budget}
		check.True(r.resize(small))
	}
	for _, r := range large {
		r.release()
	}
	whole := &bufferReservation{budget: clientbudget.NewShare(limit)}
	check.True(whole.resize(limit / 2))
	whole.release()
	check.True(whole.resize(limit / 2))
}
