package tokenquota

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// bookingStats counts the bookings of a holder by what became of them.
type bookingStats struct {
	// made and none count the requests whose tokens were booked and those for which nothing is
	// free in time; used, unused, cancelled and dropped how bookings ended; early the requests that
	// came before their time.
	made, none, used, unused, cancelled, dropped, early *metrics.Counter
}

func newBookingStats(set *metrics.Set) bookingStats {
	counter := func(result string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("jacinthbend_bookings_total{result=%q}", result))
	}
	return bookingStats{made: counter("made"), none: counter("none"), used: counter("used"), unused: counter("unused"), cancelled: counter("cancelled"), dropped: counter("dropped"), early: counter("early")}
}

// RegisterMetrics makes the limiter count in set. It must be called before the limiter is used.
func (l *Limiter) RegisterMetrics(set *metrics.Set) { l.bookings = newBookingStats(set) }
