package upstream

import "time"

// maxWaitFactors are the longest times that a request may wait at an engine before
// its own prompt is read, as multiples of its objective, by urgency.
// Urgencies beyond the list use the last factor.
var maxWaitFactors = []float64{1.6, 1.3, 1}

// overloaded reports whether the wait at the best engine with the model is so
// long that the request would miss its objective, and returns that wait.
//
// After a loss of engines or a shift of demand, requests for a model may arrive
// faster than its engines can read the prompts. Each engine then serves what it
// can in time, and the rest is refused at once, the least urgent first. Otherwise
// the queues would grow until all requests pass their deadlines. For waits between
// 0.4 and 3 s, the estimate is accurate in the median.
//
// The failure penalty is left out: if the only engine with the model were
// refused for past failures, nothing would notice that it has recovered. The
// time to read the request's own prompt is left out so that long prompts are
// not refused sooner than short ones.
func overloaded(q *Query, best *candidate) (bool, time.Duration) {
	if q.Objective <= 0 || q.ResponseStarted {
		return false, 0
	}
	limit := time.Duration(maxWaitFactors[min(max(0, q.Urgency), len(maxWaitFactors)-1)] * float64(q.Objective))
	wait := best.delay - best.failurePenalty - best.promptTime
	return wait > limit, wait
}
