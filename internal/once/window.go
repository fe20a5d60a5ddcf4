package once

import "time"

// window returns the idempotency window in force: that of the configuration, or
// KeepFor where it names none. A raised window admits no key that a fold has
// pruned; see Fold.Blind.
func window(v Views, o Options) time.Duration {
	if s := v.View().Limits.IdempotencyWindowS; s > 0 {
		return time.Duration(s) * time.Second
	}
	return o.IdempotencyWindow
}
