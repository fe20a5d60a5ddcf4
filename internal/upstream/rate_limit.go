package upstream

import (
	"math"
	"slices"
	"time"
)

// limitTurnShare is the part of an engine's rate limit that instances use which do not
// reach its agent. The agent permits the whole limit to the others.
const limitTurnShare = 0.4

// sendWait returns how long to wait before the next request to an upstream that wants a
// pause, is cold or names a rate limit, or 0 if a request may be sent now. If needsPermit is
// set, it may be sent once the upstream's agent permits it.
func (p *Pool) sendWait(s *state, now time.Time) (wait time.Duration, needsPermit bool) {
	if pause := s.said.pause(now); pause > 0 {
		return pause, false
	}
	cold, coldPermit := p.coldWait(s, now)
	limit, limitPermit := p.limitWait(s, now)
	return max(cold, limit), coldPermit || limitPermit
}

// limitWait is sendWait for the rate limit. The limit is one budget for all instances: the
// agent of an engine gives it out. Instances that do not reach the agent, and all of them
// before an upstream without one, have equal parts.
func (p *Pool) limitWait(s *state, now time.Time) (wait time.Duration, needsPermit bool) {
	limit := s.rateLimit(now)
	switch {
	case limit == 0:
		return 0, false
	case s.agentAddr == "":
		return p.partWait(s, limit, now), false
	case !p.reachesAgent(s, now):
		return p.partWait(s, limitTurnShare*limit, now), false
	case now.Before(s.noPermitUntil):
		return s.noPermitUntil.Sub(now), false
	}
	return 0, true
}

// partWait returns the time until this instance may send a request if all instances have
// equal parts of limit requests a second.
func (p *Pool) partWait(s *state, limit float64, now time.Time) time.Duration {
	entries := max(1, p.entryCount)
	part := limit / float64(entries)
	perWindow := int(part * coldWindowLength.Seconds())
	const burstSeconds = 2
	switch {
	case perWindow > 1:
		return s.sends.Wait(now, perWindow)
	case float64(entries) <= burstSeconds*limit:
		// If all instances send at once, that is what the limit allows in burstSeconds.
		return max(0, time.Duration(float64(time.Second)/part)-now.Sub(s.lastSent))
	}
	slot := time.Duration(float64(time.Second) / limit)
	return turnWait(p.entryRank, int64(entries), slot, s.lastSent, now)
}

// turnWait returns the time until the turn of the instance with this rank, if the instances
// take turns in time slots derived from the wall clock and each sends one request in its
// slot.
func turnWait(rank int, slots int64, slot time.Duration, lastSent, now time.Time) time.Duration {
	ahead := (int64(rank)%slots - now.UnixNano()/int64(slot)%slots + slots) % slots
	elapsed := time.Duration(now.UnixNano() % int64(slot))
	if ahead == 0 && now.Sub(lastSent) <= elapsed {
		ahead = slots
	}
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead)*slot - elapsed
}

// shortestQueue returns the engine with the model whose agent is expected to have a permit
// first, or nil. Engines that are cold are left out: a permit for one cannot be kept.
func (p *Pool) shortestQueue(q *Query, hashes promptHashes, now time.Time) *Choice {
	var best *state
	for s := range p.index.loaded[copyKey{q.Service, q.Model}] {
		if q.Tried[s.upstream.ID] || !p.usableFor(q, s, now) || s.said.pause(now) > 0 || s.cold(now) || !p.reachesAgent(s, now) || !s.holdings(now).HasAdapter(q.Model, q.Adapter) {
			continue
		}
		if best == nil || s.noPermitUntil.Before(best.noPermitUntil) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	c := p.candidate(best, q, hashes, p.modelSpeed(q), now)
	c.needsPermit, c.rateLimit = true, best.rateLimit(now)
	return c.choice()
}

// limitSum returns the sum of the rate limits of upstreams, and whether all usable ones name
// a limit.
func (p *Pool) limitSum(states map[*state]struct{}, now time.Time) (sum float64, all bool) {
	all = len(states) > 0
	for s := range states {
		if !p.usable(s, now) {
			continue
		}
		limit := s.rateLimit(now)
		sum, all = sum+limit, all && limit > 0
	}
	return sum, all
}

// exceedsLimits reports whether all engines with a model name rate limits and the demand of
// all instances, a decayed count of requests, is above them.
func (p *Pool) exceedsLimits(service, model string, requests float64, now time.Time) bool {
	sum, all := p.limitSum(p.index.loaded[copyKey{service, model}], now)
	return all && requests*math.Ln2/demandHalfLife.Seconds() > sum
}

// withoutLimit removes the candidates that name a rate limit, unless all do.
func withoutLimit(candidates []candidate) []candidate {
	limited := func(c candidate) bool { return c.rateLimit > 0 }
	if !slices.ContainsFunc(candidates, func(c candidate) bool { return !limited(c) }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, limited)
}

// reachesAgent reports whether the upstream's agent can be asked for a permit.
func (p *Pool) reachesAgent(s *state, now time.Time) bool {
	return s.agentAddr != "" && s.hasAgentState(now) && (!s.permitsFailed || !now.Before(s.noPermitUntil))
}
