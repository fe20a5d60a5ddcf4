package upstream

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestBusyMean guards against orders of servers from a number of running requests that follows each moment,
// or never returns to zero.
func TestBusyMean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := busyMean{at: time.Now()}
		for range 300 { // one of two tenths of a second, three requests run
			b.add(3, time.Now())
			time.Sleep(100 * time.Millisecond)
			b.add(-3, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		check.True(math.Abs(b.value(time.Now())-1.5) < 0.1)
		time.Sleep(time.Minute)
		check.True(b.value(time.Now()) < 0.01)
	})
}
