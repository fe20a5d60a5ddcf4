package configcheck

import (
	"maps"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func (d *document) checkLimits(out *findings) {
	limits := d.Limits
	path := config.EntryPath(record.SectionLimits, config.LimitsID)
	if intervalMS := 1000 / limits.StoreLoadsPerS; len(d.Models) > 1 && intervalMS > float64(limits.DefaultDeadlineMS) {
		out.warn(CodeLoadsOverDeadline, path.Field("store_loads_per_s"),
			"one load from the weight store begins every %.0f ms, but a request without a deadline of its own waits at most %d ms, "+
				"so that requests for two missing models at once fail; raise store_loads_per_s, or raise default_deadline_ms", intervalMS, limits.DefaultDeadlineMS)
	}
	windowMS := limits.IdempotencyWindowS * 1000
	if windowMS < limits.MaxDeadlineMS && slices.ContainsFunc(slices.Collect(maps.Values(d.Routes)), func(r config.Route) bool { return !r.Repeatable }) {
		out.warn(CodeWindowBelowDeadline, path.Field("idempotency_window_s"),
			"the result of a call that runs at most once is kept for %d ms, but the call may take %d ms, so that its caller cannot learn the outcome; "+
				"raise idempotency_window_s, or lower max_deadline_ms", windowMS, limits.MaxDeadlineMS)
	}
	if limits.BulkShare >= 1 {
		out.warn(CodeBulkShareIgnored, path.Field("bulk_share"),
			"a share of 1 would leave nothing to other classes, and the default of %v takes its place; set a share below 1", config.Limits{}.WithDefaults().BulkShare)
	}
}
