package configcheck

import "github.com/jacinthbend/jacinthbend/internal/config"

// afterRestart marks the limits that entry instances read only at their start.
const afterRestart = " (takes effect when an entry instance restarts)"

func (c *comparison) changedLimits(path config.Path) {
	old, next := c.base.Limits, c.next.Limits
	compareNumber(c, path.Field("max_body_bytes"), "the maximum size of a request body in bytes", old.MaxBodyBytes, next.MaxBodyBytes,
		"larger requests get 413")
	compareNumber(c, path.Field("queue_requests"), "the maximum of queued requests"+afterRestart, old.QueueRequests, next.QueueRequests,
		"more requests are refused in a burst")
	compareNumber(c, path.Field("default_deadline_ms"), "the default deadline in ms", old.DefaultDeadlineMS, next.DefaultDeadlineMS,
		"requests without a deadline of their own fail sooner")
	compareNumber(c, path.Field("max_deadline_ms"), "the longest deadline in ms", old.MaxDeadlineMS, next.MaxDeadlineMS,
		"requests that ask for a longer one get 400")
	compareNumber(c, path.Field("store_loads"), "the maximum of concurrent loads from the weight store", old.StoreLoads, next.StoreLoads,
		"more requests wait for loads")
	compareNumber(c, path.Field("store_loads_per_s"), "the maximum of loads per second from the weight store", old.StoreLoadsPerS, next.StoreLoadsPerS,
		"more requests wait for loads")
	compareNumber(c, path.Field("adapter_loads"), "the maximum of concurrent adapter loads", old.AdapterLoads, next.AdapterLoads,
		"more requests wait for loads")
	compareNumber(c, path.Field("bulk_share"), "the share of bulk requests"+afterRestart, old.BulkShare, next.BulkShare,
		"bulk requests wait longer")
	compareNumber(c, path.Field("idempotency_window_s"), "the idempotency window in s", old.IdempotencyWindowS, next.IdempotencyWindowS,
		"callers that repeat a call later get 410 and cannot learn its outcome")
}
