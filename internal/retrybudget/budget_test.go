package retrybudget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSharedBounds guards against retries of several instances that together
// exceed the bounds.
func TestSharedBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		bounds := Bounds{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
		total := 0
		for range 4 {
			b := New(bounds)
			b.SetEntryCount(4)
			for range 30 {
				b.CountRequest("s")
			}
			for range 200 {
				if b.AllowRetry("s") {
					total++
				}
			}
		}
		check.True(float64(total) <= bounds.Ratio*120+bounds.Slack)
		check.True(total > 40) // most of the bounds can be used
	})
}

// TestWindow guards against counting retries that are older than the window, and
// against retries for one service that use up the budget of another.
func TestWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := New(Bounds{Slack: 5, Window: time.Second})
		for range 4 {
			check.True(b.AllowRetry("a"))
		}
		check.True(!b.AllowRetry("a"))
		check.True(b.AllowRetry("b"))
		time.Sleep(1001 * time.Millisecond)
		check.True(b.AllowRetry("a"))
	})
}
