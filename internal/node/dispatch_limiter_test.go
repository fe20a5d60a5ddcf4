package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/entry"
	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

// TestDispatchLimiter guards against a limiter that makes requests wait while
// no upstream is busy, and against one that does not reduce its limit when
// upstreams are busy.
func TestDispatchLimiter(t *testing.T) {
	is := is.New(t)
	// At the target peak load an instance runs 27 requests a second, each of 200
	// tokens at 32 ms per token.
	const peakStreams = 172
	l := newDispatchLimiter(fairqueue.New(fairqueue.Options{}), func(string) float64 { return 1 })
	turn := entry.QueuedRequest{Team: "blue", Class: dispatch.ClassNormal, Deadline: time.Now().Add(time.Minute), Tokens: 200}
	var dones []func(entry.DispatchResult)
	for range peakStreams {
		done, err := l.Wait(t.Context(), turn)
		is.NoErr(err)
		dones = append(dones, done)
	}
	for _, done := range dones {
		done(entry.DispatchResult{Busy: true})
	}
	is.Equal(int(l.limit), minDispatchLimit)
	for range minDispatchLimit {
		_, err := l.Wait(t.Context(), turn)
		is.NoErr(err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := l.Wait(cancelled, turn)
	is.True(err != nil) // refused: the earlier turns still use up the limit
}
