package lifecycle

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestDrain guards against a planned stop that does not wait for a running
// request, accepts a new one, or waits longer than its timeout (H14).
func TestDrain(t *testing.T) {
	rows := []struct {
		name                 string
		requestTime, timeout time.Duration
		stillRunning         int64
		drainTime            time.Duration
	}{
		{"idle", 0, time.Minute, 0, 0},
		{"ends in time", 3 * time.Second, time.Minute, 0, 3 * time.Second},
		{"ends too late", time.Hour, time.Minute, 1, time.Minute},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				m := New()
				check.True(!m.Begin()) // no requests before Serve
				check.NoErr(m.Serve())
				if row.requestTime > 0 {
					check.True(m.Begin())
					go func() {
						time.Sleep(row.requestTime)
						m.End()
					}()
				}
				ctx, cancel := context.WithTimeout(t.Context(), row.timeout)
				defer cancel()
				start := time.Now()
				running, err := m.Drain(ctx)
				check.NoErr(err)
				check.Equal(running, row.stillRunning)
				check.True(time.Since(start) >= row.drainTime && time.Since(start) <= row.drainTime+drainPollInterval)
				check.True(!m.Begin())
				check.NoErr(m.Stop())
				check.Equal(m.State(), Stopped)
				check.True(!m.Begin())
				time.Sleep(row.requestTime) // let the request end before the test does
				check.Equal(m.Running(), int64(0))
			})
		})
	}
}

// TestTransitions guards against a state transition that must not be possible, or
// that must be possible and fails.
func TestTransitions(t *testing.T) {
	check := is.New(t)
	m := New()
	check.True(m.Stop() != nil) // must drain first, or running requests are cut
	_, err := m.Drain(t.Context())
	check.NoErr(err) // a stop signal during startup drains too
	check.True(m.Serve() != nil)
	_, err = m.Drain(t.Context())
	check.NoErr(err) // a second stop signal is no error
	check.NoErr(m.Stop())
}
