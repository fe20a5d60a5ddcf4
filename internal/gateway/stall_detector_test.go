package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestEventGap guards against a stream from which bytes come now and then, but no
// event, and against cutting a stream whose events are slow.
func TestEventGap(t *testing.T) {
	const byteInterval = 100 * time.Millisecond
	for name, tt := range map[string]struct {
		eventInterval time.Duration
		stalled       bool
	}{
		"no event":    {0, true},
		"slow events": {1900 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				d := &stallDetector{maxEventGap: maxEventGap(&fleet.Route{Objective: 300 * time.Millisecond, EventInterval: 200 * time.Millisecond})}
				check.Equal(d.maxEventGap, minEventGap)
				d.ctx, d.cancel = context.WithCancelCause(t.Context())
				d.eventReceived()
				d.dataReceived()
				go d.monitor(func() bool { return false })
				lastEvent := time.Now()
				for range 100 {
					time.Sleep(byteInterval)
					d.dataReceived()
					if tt.eventInterval > 0 && time.Since(lastEvent) >= tt.eventInterval {
						d.eventReceived()
						lastEvent = time.Now()
					}
				}
				check.Equal(d.stalled(), tt.stalled)
				d.stop()
			})
		})
	}
}

// TestSlowUpstreamBounds guards against cutting an attempt at an upstream that is sound but
// slow, and against waiting for one that was frozen lately for as long again.
func TestSlowUpstreamBounds(t *testing.T) {
	check := is.New(t)
	route := &fleet.Route{Objective: 300 * time.Millisecond}
	check.Equal(attemptEventGap(route, 0, 0), minEventGap)
	check.Equal(attemptEventGap(route, 700*time.Millisecond, 0), minEventGap)
	check.Equal(attemptEventGap(route, 1200*time.Millisecond, 0), 3*time.Second)
	check.Equal(attemptEventGap(route, 0, time.Minute), maxGapFactor*minEventGap)
	check.Equal(responseTimeout(2*time.Second, 0), time.Second)
	check.Equal(responseTimeout(2*time.Second, 600*time.Millisecond), time.Second) // leaves time for another attempt
	check.Equal(responseTimeout(2*time.Second, 800*time.Millisecond), 1200*time.Millisecond)
	check.Equal(responseTimeout(2*time.Second, 1900*time.Millisecond), 2*time.Second)
}
