package atmostonce

import "time"

// idempotencyWindow returns the current idempotency window: that of the
// configuration, or Options.IdempotencyWindow if the configuration sets none.
// Raising the window does not admit keys that were pruned before; see
// PartitionState.RecordsMayBeLost.
func idempotencyWindow(v ViewSource, o Options) time.Duration {
	if s := v.View().Limits.IdempotencyWindowS; s > 0 {
		return time.Duration(s) * time.Second
	}
	return o.IdempotencyWindow
}
