package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/entry"
	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// TestDispatchGate guards against a gate that holds requests back while no
// upstream is busy, and against one that does not yield when they are.
func TestDispatchGate(t *testing.T) {
	is := is.New(t)
	// A node runs 27 requests a second of 200 tokens at 32 ms at the target's peak.
	const peakStreams = 172
	g := newDispatchGate(fairqueue.New(fairqueue.Options{}), func(string) float64 { return 1 })
	turn := entry.QueuedRequest{Team: "blue", Class: work.ClassNormal, Deadline: time.Now().Add(time.Minute), Tokens: 200}
	var ends []func(entry.DispatchResult)
	for range peakStreams {
		done, err := g.Wait(t.Context(), turn)
		is.NoErr(err)
		ends = append(ends, done)
	}
	for _, done := range ends {
		done(entry.DispatchResult{Busy: true})
	}
	is.Equal(int(g.limit), minDispatch)
	for range minDispatch {
		_, err := g.Wait(t.Context(), turn)
		is.NoErr(err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := g.Wait(ended, turn)
	is.True(err != nil) // the limit holds while the turns before have not ended
}
