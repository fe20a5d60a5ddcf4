package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLedgerIsBounded guards against a ledger that grows with the requests that are refused, and
// against refusals without a booking that leave no room for bookings.
func TestLedgerIsBounded(t *testing.T) {
	check := is.New(t)
	var l Ledger
	for i := range uint64(2 * maxPromises) {
		check.True(l.Add(Promise{Digest: i + 1, At: time.Second, Tokens: float64(i / maxPromises)}))
	}
	check.True(!l.Add(Promise{Digest: 1 << 40, At: time.Second, Tokens: 1}))
	check.Equal(len(l.promises), maxPromises)
	check.Equal(l.Expire(time.Second+BookingTTL+1), maxPromises)
	check.True(!l.Booked())
	l.Expire(time.Second + promiseMemory + 1)
	check.Equal(len(l.promises), 0)
}
