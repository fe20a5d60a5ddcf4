package upstream

import "time"

// waitShares of a request's objective are the most that it may wait at an engine
// before its own prompt is read, by urgency; less urgent ones have the last.
var waitShares = []float64{1.6, 1.3, 1}

// overloaded reports whether an engine that holds the model is so far behind that
// a request would miss its objective, and after what time it is not.
//
// It answers more prompts for a model than its engines read, as after a loss of
// engines or when demand moves: each engine then serves what it takes in time and
// the rest is refused at once, the least urgent first. Without it the queues grow
// until all requests pass their deadlines. The estimate is right at its median
// between 0.4 and 3 s. Failures do not count: an engine without another that holds
// the model has to be tried to be found well again. The time for the own prompt does not count, so that long
// prompts are refused no sooner than short ones.
func overloaded(q *Query, best candidate) (bool, time.Duration) {
	if q.Objective <= 0 || q.ResponseStarted {
		return false, 0
	}
	own := time.Duration(float64(best.uncached) / prefillTokensPerMS * float64(time.Millisecond))
	most := time.Duration(waitShares[min(max(0, q.Urgency), len(waitShares)-1)] * float64(q.Objective))
	wait := best.delay - best.failing - own
	return wait > most, wait
}
