package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/spill"
)

// bestSide returns the fastest candidate of the own data centre, or of the others if q leaves.
func (p *Pool) bestSide(q *Query, candidates []candidate, now time.Time) *candidate {
	if p.bounds.SpillWeight == 0 {
		return fastest(candidates, q.Model)
	}
	here, there := p.fastestOfSides(candidates, q.Model)
	switch {
	case there == nil:
		return here
	case here == nil:
		there.leave(spill.NoneHere)
		return there
	}
	r := spill.Request{Objective: q.Objective, Bytes: q.Bytes + p.meanAnswerBytes(q.Service), Weight: p.bounds.SpillWeight}
	decision := spill.Decide(r, p.spillOption(q, here, now), p.spillOption(q, there, now))
	leaves, reason := p.damper(q.Service).Leaves(decision, now)
	if !leaves {
		return here
	}
	there.leave(reason)
	return there
}

// leave records that the request goes to c in another data centre.
func (c *candidate) leave(reason spill.Reason) {
	c.reason = reason
	c.delay += spill.LinkDelay
}

// fastestOfSides returns the fastest candidates of the own data centre and of the others, nil
// if there is none. Among equal ones elsewhere it prefers that of the highest rank: the requests
// of the other data centre itself go to that of the lowest, and both would fill the same one
// until the next report.
func (p *Pool) fastestOfSides(candidates []candidate, model string) (here, there *candidate) {
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.state.upstream.DataCentre == p.dataCentre:
			if here == nil || c.before(here, model) {
				here = c
			}
		case there == nil || c.compare(there) < 0 || c.compare(there) == 0 && c.rankFor(model) > there.rankFor(model):
			there = c
		}
	}
	return here, there
}

func (p *Pool) damper(service string) *spill.Damper {
	d, ok := p.dampers[service]
	if !ok {
		d = &spill.Damper{}
		p.dampers[service] = d
	}
	return d
}

// slowPace is the pace from which on an upstream without models counts as slow, so that its
// typical time is compared with the objective. What all upstreams of the service take alike
// is no reason to leave.
const slowPace = 1.25

// spillOption describes a candidate to the decision whether q leaves.
func (p *Pool) spillOption(q *Query, c *candidate, now time.Time) spill.Option {
	l := c.state.loadSnapshot(now, p.dataCentre)
	o := spill.Option{Cost: c.delay + c.rankShift, Penalty: c.failurePenalty, Queued: l.queued, Occupancy: p.occupancy(l, c.state.upstream.Capacity)}
	if !q.Repeatable && c.state.health.suspected(now) {
		o.Penalty += suspectPenalty
	}
	if q.Model == "" {
		if c.state.speed.Plain(now) > slowPace {
			o.Answer = c.state.speed.TypicalPlain()
		}
		return o
	}
	o.Penalty += pausePenalty(q, c.state, now)
	if !c.hasAdapter {
		o.Load = adapterLoadTime + c.state.remainingLoadTime(now)
	}
	o.PromptTime, o.UncachedTokens = c.promptTime, c.uncachedTokens
	o.Answer = c.delay - c.failurePenalty
	return o
}

// maxUnseenSenders bounds the number of other instances that are expected to have sent
// requests which the last report does not include: few instances send to one upstream within
// the age of a report (300 ms).
const maxUnseenSenders = 3

// occupancy returns the used part of an upstream's places, counting one more request; 0 is
// unknown. The other instances of the data centre are expected to have sent as many requests
// since the last report as this one.
func (p *Pool) occupancy(l loadSnapshot, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	unseen := max(0, l.inFlight-l.running) * min(maxUnseenSenders, max(0, p.entriesHere-1))
	return float64(l.runningNow()+l.queued+unseen+1) / float64(capacity)
}

// entriesIn returns the number of entry instances in a data centre.
func entriesIn(v *fleet.View, dataCentre string) int {
	n := 0
	for _, m := range v.Members {
		if m.Role == fleet.RoleEntry && m.DataCentre == dataCentre {
			n++
		}
	}
	return n
}
