package upstream

import "time"

// retestShare is the part of the requests that may go to an upstream which is known as slow,
// to learn whether it still is.
const retestShare = 0.02

// retest returns the candidate for q: best, or now and then one that is known as slow and
// has not responded lately. Only a request that may be repeated, and is expected to be
// served within its objective, goes there.
func (p *Pool) retest(q *Query, candidates []candidate, best *candidate, now time.Time) *candidate {
	if !q.Repeatable || q.ResponseStarted {
		return best
	}
	if p.retests = min(1, p.retests+retestShare); p.retests < 1 {
		return best
	}
	for i := range candidates {
		c := &candidates[i]
		missing := q.Model != "" && !c.hasAdapter
		late := q.Model != "" && q.Objective > 0 && c.delay > q.Objective
		if !missing && !late && !c.needsPermit && c.failurePenalty == 0 && c.state.speed.RetestDue(now) {
			p.retests = 0
			return c
		}
	}
	return best
}
