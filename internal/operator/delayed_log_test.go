package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// delayedLog is one operator's connection to the log. Each operator has its own
// latency, so that no two calls reach the log at the same instant and each seed
// gives a reproducible trace.
type delayedLog struct {
	backing.Log
	sim          *simulation
	extraLatency time.Duration
}

func (l *delayedLog) Append(ctx context.Context, stream string, entries []json.RawMessage) (backing.Offset, error) {
	time.Sleep(l.sim.callLatency() + l.extraLatency)
	return l.Log.Append(ctx, stream, entries)
}

func (l *delayedLog) Read(ctx context.Context, stream string, after backing.Offset, limit int, wait time.Duration) (backing.Page, error) {
	time.Sleep(l.sim.callLatency() + l.extraLatency)
	return l.Log.Read(ctx, stream, after, limit, wait)
}
