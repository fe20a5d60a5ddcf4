package standin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// ProcessLog is the log as one process sees it: it fails while the process is
// dead or its access to the log is blocked.
type ProcessLog struct {
	Process *Process
	Log     platform.Log
	// DelayAppend, if set, is called before each append. If it returns true, the append
	// fails immediately and still takes effect after AppendDelay (F7, F18).
	DelayAppend func() bool
	AppendDelay time.Duration
}

var _ platform.Log = ProcessLog{}

func (l ProcessLog) unavailable() bool {
	l.Process.WaitWhilePaused()
	return l.Process.Dead() || isActive(&l.Process.logBlockedUntil)
}

// Append implements platform.Log.
func (l ProcessLog) Append(ctx context.Context, stream string, entries []json.RawMessage) (platform.Offset, error) {
	if l.unavailable() {
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
	if l.unavailable() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, after, limit, wait)
}
