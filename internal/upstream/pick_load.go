package upstream

import (
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// pickLoad returns the engine that can load the model soonest, or nil with the time until
// a cold one may be used. If no engine has the model at hand, any engine stands for all:
// a load from the weight store takes about the same time on each.
func (p *Pool) pickLoad(q *Query, now time.Time) (*Choice, time.Duration) {
	atHand, wait := p.loadCandidates(q, p.index.atHand[copyKey{q.Service, q.Model}], now)
	if choice := p.fastestLoad(q, atHand, now); choice != nil && !choice.FromStore {
		return choice, 0
	}
	for s := range p.byService[q.Service] {
		others, w := p.loadCandidates(q, map[*state]struct{}{s: {}}, now)
		wait = shorterWait(wait, w)
		if choice := p.fastestLoad(q, others, now); choice != nil {
			return choice, 0
		}
	}
	return nil, wait
}

// loadCandidates returns those of states that lack the model and have an agent, without
// those that name a rate limit if others remain.
func (p *Pool) loadCandidates(q *Query, states map[*state]struct{}, now time.Time) ([]candidate, time.Duration) {
	out, wait := p.candidates(q, states, promptHashes{}, now)
	out = slices.DeleteFunc(out, func(c candidate) bool { return c.hasModel || c.state.agentAddr == "" })
	return withoutLimit(out), wait
}

// Estimates for loads queued at one engine.
const (
	// unloadTime is the time to unload another model.
	unloadTime = 150 * time.Millisecond
	// unknownAgentPenalty is added if the agent has not reported lately.
	unknownAgentPenalty = 3 * time.Second
)

// fastestLoad returns the engine that can load the model soonest. All entry
// instances see the same holdings and break ties by the same rank, so they all
// ask the same engine.
func (p *Pool) fastestLoad(q *Query, candidates []candidate, now time.Time) *Choice {
	service, ok := p.view.Config.Service(q.Service)
	if !ok || service.Engine == nil {
		return nil
	}
	model, ok := service.Engine.Models[q.Model]
	if !ok {
		return nil
	}
	var best *candidate
	var bestTime time.Duration
	for i := range candidates {
		t := loadTime(candidates[i].state, service.Engine, model, now)
		if best == nil || t < bestTime || t == bestTime && candidates[i].rankFor(q.Model) < best.rankFor(q.Model) {
			best, bestTime = &candidates[i], t
		}
	}
	if best == nil {
		return nil
	}
	if !best.state.hasAgentState(now) {
		// The penalty only ranks the engines: the agent itself answers at once
		// whether it can load the model.
		bestTime -= unknownAgentPenalty
	}
	choice := best.choice()
	choice.NeedsLoad, choice.LoadTime, choice.FromStore = true, bestTime, needsStoreLoad(best.state, model.Name, now)
	return choice
}

// needsStoreLoad reports whether the engine would fetch the weights from the
// weight store for a load that is neither running nor queued yet.
func needsStoreLoad(s *state, model string, now time.Time) bool {
	if h := s.holdings(now); h != nil && (slices.Contains(h.InMemory, model) || slices.Contains(h.OnDisk, model)) {
		return false
	}
	return !s.hasAgentState(now) || s.agent.Loading != model && !slices.Contains(s.agent.LoadQueue, model)
}

// loadTime estimates how long until an engine has loaded a model for which a request
// waits.
func loadTime(s *state, spec *fleet.Engine, m fleet.Model, now time.Time) time.Duration {
	h := s.holdings(now)
	t := orderTime(h, m)
	if !s.hasAgentState(now) {
		return t + unknownAgentPenalty
	}
	if s.agent.Loading == m.Name {
		return s.remainingLoadTime(now)
	}
	ahead := slices.Index(s.agent.LoadQueue, m.Name)
	if ahead < 0 || ahead > s.agent.WaitingLoads {
		// Loads for which requests wait come before the others.
		ahead = min(s.agent.WaitingLoads, len(s.agent.LoadQueue))
	}
	t += s.remainingLoadTime(now)
	for _, name := range s.agent.LoadQueue[:ahead] {
		t += orderTime(h, spec.Models[name])
	}
	return t
}

// orderTime is how long an engine takes to make room for a model and load it.
func orderTime(h *fleet.Holdings, m fleet.Model) time.Duration {
	switch {
	case h != nil && slices.Contains(h.InMemory, m.Name):
		return unloadTime + m.MemoryLoadTime
	case h != nil && slices.Contains(h.OnDisk, m.Name):
		return unloadTime + m.DiskLoadTime
	default:
		return unloadTime + m.StoreLoadTime
	}
}
