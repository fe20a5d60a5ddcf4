package upstream

import (
	"math"
	"time"
)

// Fractions of the bound on requests to a cold upstream that the instances use.
const (
	// coldBoundShare is used while each instance has an equal part of at least one
	// request a second. The rest is left for instances that are not known yet.
	coldBoundShare = 0.8
	// coldTurnShare is used by the turns of instances that do not reach the upstream's
	// agent. Permits of the agent use another half of the bound.
	coldTurnShare = 0.45
)

// coldWindowLength is the sliding window in which requests to a cold upstream are counted.
// The platform counts per second; the extra 100 ms cover differences in network delay.
const coldWindowLength = 1100 * time.Millisecond

// coldRateLimit is the number of requests per second that each entry instance may send
// to a cold upstream of a service by itself; 0 means no limit. All instances derive it
// from the same list of members, so together they stay below the bound without
// coordination. If permits is set, an equal part would be less than one request a second,
// and the agents of the upstreams decide.
func (p *Pool) coldRateLimit(service string) (limit float64, permits bool) {
	rate := p.view.Config.Services[service].MaxColdRate
	if rate <= 0 {
		return 0, false
	}
	part := (rate*p.bounds.ColdOver + p.bounds.ColdSlack) / float64(max(1, p.entryCount))
	if coldBoundShare*part >= 1 {
		return coldBoundShare * part, false
	}
	return coldTurnShare * part, true
}

// coldWait returns how long to wait before the next request to an upstream that is cold,
// or 0 if a request may be sent now. If needsPermit is set, it may be sent once the
// upstream's agent permits it.
func (p *Pool) coldWait(s *state, now time.Time) (wait time.Duration, needsPermit bool) {
	if !s.cold(now) {
		return 0, false
	}
	limit, permits := p.coldRateLimit(s.upstream.Service)
	switch {
	case limit == 0:
		return 0, false
	case !permits:
		return s.sends.Wait(now, int(limit)), false
	case !p.reachesAgent(s, now):
		return p.coldTurnWait(s, limit, now), false
	case now.Before(s.noPermitUntil):
		return s.noPermitUntil.Sub(now), false
	}
	return 0, true
}

// coldTurnWait returns the time until this instance's turn. The instances take turns in time
// slots derived from the wall clock. Any second overlaps at most two slots, so each slot
// gets half of the limit.
func (p *Pool) coldTurnWait(s *state, limit float64, now time.Time) time.Duration {
	const slotsPerSecond = 2
	slots := int64(math.Ceil(slotsPerSecond / limit))
	ahead := (int64(p.entryRank)%slots - now.UnixNano()/int64(coldWindowLength)%slots + slots) % slots
	if ahead == 0 {
		return s.sends.Wait(now, 1)
	}
	elapsed := time.Duration(now.UnixNano() % int64(coldWindowLength))
	return time.Duration(ahead)*coldWindowLength - elapsed
}

// PermitRefused records that the agent of an upstream permits no request for the time wait,
// or did not answer.
func (p *Pool) PermitRefused(upstreamID string, wait time.Duration, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[upstreamID]; ok {
		s.noPermitUntil, s.permitsFailed = time.Now().Add(wait), failed
	}
}
