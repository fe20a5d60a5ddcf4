package standin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// ProcessLog is the log as one process sees it: it fails while the process is
// dead or its access to the log is blocked.
type ProcessLog struct {
	Process *Process
	Log     backing.Log
	// DelayAppend, if set, is called before each append. If it returns true, the append
	// fails immediately and still takes effect after AppendDelay (F7, F18).
	DelayAppend func() bool
	AppendDelay time.Duration
}

var _ backing.Log = ProcessLog{}

func (l ProcessLog) unavailable() bool {
	l.Process.WaitWhilePaused()
	return l.Process.Dead() || isActive(&l.Process.logBlockedUntil)
}

// Append implements backing.Log.
func (l ProcessLog) Append(ctx context.Context, stream string, entries []json.RawMessage) (backing.Offset, error) {
	if l.unavailable() {
		return 0, backing.ErrUnavailable
	}
	if l.DelayAppend != nil && l.DelayAppend() {
		go func() {
			time.Sleep(l.AppendDelay)
			_, _ = l.Log.Append(context.WithoutCancel(ctx), stream, entries)
		}()
		return 0, backing.ErrUnavailable
	}
	return l.Log.Append(ctx, stream, entries)
}

// Read implements backing.Log.
func (l ProcessLog) Read(ctx context.Context, stream string, after backing.Offset, limit int, wait time.Duration) (backing.Page, error) {
	if l.unavailable() {
		return backing.Page{}, backing.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, after, limit, wait)
}
