package standin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// ProcessLog is a log as one process reaches it.
type ProcessLog struct {
	Process *Process
	Log     platform.Log
	// DelayAppend, if set, tells whether the next append fails at once and still takes
	// effect after LateBy (F7, F18).
	DelayAppend func() bool
	AppendDelay time.Duration
}

var _ platform.Log = ProcessLog{}

func (l ProcessLog) out() bool {
	l.Process.WaitWhilePaused()
	return l.Process.Dead() || lasts(&l.Process.noLog)
}

// Append implements platform.Log.
func (l ProcessLog) Append(ctx context.Context, stream string, entries []json.RawMessage) (platform.Offset, error) {
	if l.out() {
		return 0, platform.ErrUnavailable
	}
	if l.DelayAppend != nil && l.DelayAppend() {
		go func() {
			time.Sleep(l.AppendDelay)
			_, _ = l.Log.Append(context.WithoutCancel(ctx), stream, entries)
		}()
		return 0, platform.ErrUnavailable
	}
	return l.Log.Append(ctx, stream, entries)
}

// Read implements platform.Log.
func (l ProcessLog) Read(ctx context.Context, stream string, after platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	if l.out() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, after, limit, wait)
}
