package config

import (
	"net/http"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

var routeMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func (c *checker) checkRoutes() {
	for id, route := range c.doc.Routes {
		loc := locationOf(record.SectionRoutes, id)
		c.checkPoolRef(loc.Field("pool"), route.Pool, PoolService)
		c.checkMethods(loc.Field("methods"), route.Methods)
		c.checkTeamIDs(loc.Field("teams"), route.Teams)
		checkRange(c, loc.Field("cost_tokens"), route.CostTokens, 0, maxTokens)
		if route.Open && len(route.Teams) > 0 {
			c.add(RuleConflict, loc.Field("teams"), nil, "must be absent: an open route is not limited to teams")
		}
		if route.Open && route.CostTokens > 0 {
			c.add(RuleConflict, loc.Field("cost_tokens"), route.CostTokens, "must be absent: calls to an open route are not charged to a team")
		}
	}
}

func (c *checker) checkMethods(loc location, methods []string) {
	for i, m := range methods {
		if !slices.Contains(routeMethods, m) {
			c.add(RuleFormat, loc.Index(i), m, "must be one of %v", routeMethods)
		}
		if slices.Contains(methods[:i], m) {
			c.add(RuleRepeated, loc.Index(i), m, "repeated method")
		}
	}
}

// maxBodyBytes is the body limit of the listener for callers (internal/node). A
// larger max_body_bytes would have no effect, because the listener rejects the
// body first.
const maxBodyBytes = 16 << 20

func (c *checker) checkLimits() {
	limits := c.doc.Limits
	loc := locationOf(record.SectionLimits, LimitsID)
	checkRange(c, loc.Field("max_body_bytes"), limits.MaxBodyBytes, 0, maxBodyBytes)
	checkRange(c, loc.Field("queue_requests"), limits.QueueRequests, 0, 1<<20)
	checkRange(c, loc.Field("default_deadline_ms"), limits.DefaultDeadlineMS, 0, 86_400_000)
	checkRange(c, loc.Field("max_deadline_ms"), limits.MaxDeadlineMS, 0, 86_400_000)
	checkRange(c, loc.Field("store_loads"), limits.StoreLoads, 0, 10_000)
	checkRange(c, loc.Field("store_loads_per_s"), limits.StoreLoadsPerS, 0, 10_000)
	checkRange(c, loc.Field("adapter_loads"), limits.AdapterLoads, 0, 10_000)
	checkRange(c, loc.Field("bulk_share"), limits.BulkShare, 0, 1)
	checkRange(c, loc.Field("idempotency_window_s"), limits.IdempotencyWindowS, 0, 30*86_400)
	effective := limits.WithDefaults()
	if effective.DefaultDeadlineMS > effective.MaxDeadlineMS {
		c.add(RuleConflict, loc.Field("default_deadline_ms"), effective.DefaultDeadlineMS, "must be at most max_deadline_ms, which is %d", effective.MaxDeadlineMS)
	}
}
