package streamorigin

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

const (
	// minWriteInterval is the shortest time between two records of an instance. What it
	// has begun since the last one is lost if it ends.
	minWriteInterval = 200 * time.Millisecond
	maxWriteInterval = 2 * time.Second
	// writeIntervalPerEntry makes all instances together write at most 125 records a second.
	writeIntervalPerEntry = 8 * time.Millisecond
	writeRetryDelay       = 400 * time.Millisecond
)

// Run writes what other instances have to know until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	if t.o.Log == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.due:
		}
		interval := min(maxWriteInterval, max(minWriteInterval, time.Duration(t.o.Entries())*writeIntervalPerEntry))
		if !pause(ctx, interval) {
			return
		}
		for batch := t.takePending(); batch.n > 0 && !t.write(ctx, batch); {
			if !pause(ctx, writeRetryDelay) {
				return
			}
		}
	}
}

func (t *Tracker) takePending() *pending {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pending
	t.pending = newPending()
	return p
}

func (t *Tracker) write(ctx context.Context, batch *pending) bool {
	data, err := t.encode(batch)
	if err == nil {
		err = t.o.Log.Append(ctx, data)
	}
	if err != nil {
		t.o.Logger.Warn("cannot write the record of streams, retrying", zap.Int("streams", batch.n), telemetry.Err(err))
		return false
	}
	return true
}

// pause waits for d and reports whether ctx has not ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
