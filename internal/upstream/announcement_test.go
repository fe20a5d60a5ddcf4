package upstream

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestShorterPause guards against a pause that ends early because another answer, to a request
// that was sent before, names a shorter one or says nothing.
func TestShorterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newPool(testView(1, 1))
		begin := func() *Ticket {
			c, _ := p.Pick(&Query{Service: "e"})
			if c == nil {
				return nil
			}
			ticket, _ := p.Begin(c, &Query{Service: "e"})
			return ticket
		}
		const pause = 700 * time.Millisecond
		first, second, third := begin(), begin(), begin()
		first.Announced(http.StatusServiceUnavailable, fleet.ResponseAttributes{RetryAfter: pause})
		second.Announced(http.StatusServiceUnavailable, fleet.ResponseAttributes{RetryAfter: 10 * time.Millisecond})
		third.Announced(http.StatusOK, fleet.ResponseAttributes{})
		time.Sleep(pause - time.Millisecond)
		check.True(begin() == nil)
		time.Sleep(2 * time.Millisecond)
		check.True(begin() != nil)
	})
}
