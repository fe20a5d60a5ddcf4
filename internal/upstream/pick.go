package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/rendezvous"
)

// candidate is a usable upstream with the values by which Pick compares it.
type candidate struct {
	state          *state
	hasModel       bool
	hasAdapter     bool
	uncachedTokens int
	delay          time.Duration
	// failurePenalty is the part of delay that stands for failed attempts.
	failurePenalty time.Duration
	// rank is the rendezvous rank of the upstream for the model; it breaks ties.
	rank uint64
}

// Pick chooses an upstream for q.
func (p *Pool) Pick(q *Query) (*Choice, Unavailable) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return nil, Unavailable{Reason: "no configuration received yet"}
	}
	candidates, wait := p.candidates(q, now)
	if len(candidates) == 0 {
		if wait > 0 {
			return nil, Unavailable{Reason: "all usable upstreams are cold and at their rate limit", RetryAfter: wait}
		}
		return nil, Unavailable{Reason: "no usable upstream for the service"}
	}
	if q.Model == "" {
		best := slices.MinFunc(candidates, compareDelay)
		return best.choice(), Unavailable{}
	}
	return p.pickEngine(q, candidates, now)
}

func (p *Pool) candidates(q *Query, now time.Time) ([]candidate, time.Duration) {
	var out []candidate
	var shortest time.Duration
	var hashes []uint64
	if q.Model != "" {
		hashes = prefixHashes(q.Name(), q.Prompt)
	}
	for _, s := range p.states {
		if s.upstream.Service != q.Service || q.Tried[s.upstream.ID] || !p.usable(s, now) {
			continue
		}
		if wait := p.coldWait(s, now); wait > 0 {
			if shortest == 0 || wait < shortest {
				shortest = wait
			}
			continue
		}
		out = append(out, p.candidate(s, q, hashes, now))
	}
	return out, shortest
}

func (p *Pool) candidate(s *state, q *Query, hashes []uint64, now time.Time) candidate {
	c := candidate{state: s, rank: rendezvous.Rank(q.Model, s.upstream.ID)}
	l := s.loadSnapshot(now, p.dataCentre)
	c.failurePenalty = time.Duration(l.failureRate * failurePenaltyMS * float64(time.Millisecond))
	if q.Model == "" {
		c.delay = plainDelay(l, s.upstream.Capacity)
		return c
	}
	h := s.holdings(now)
	c.hasModel, c.hasAdapter = h.HasModel(q.Model), h.HasAdapter(q.Model, q.Adapter)
	c.uncachedTokens = max(0, q.TokensIn-s.prefixes.cachedTokens(hashes, q.Prompt))
	c.delay = engineDelay(l, c.uncachedTokens)
	if c.hasModel && !c.hasAdapter {
		// An engine takes no adapter order while it loads a model.
		c.delay += adapterLoadTime + s.remainingLoadTime(now)
	}
	return c
}

func compareDelay(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(a.rank, b.rank))
}

// Parameters of additional copies of a model.
const (
	// replicaDelayShare is the fraction of the objective above which the
	// estimated delay justifies loading another copy of a model.
	replicaDelayShare = 0.4
	// replicaUtilization is the fraction of an engine's time that reading the
	// prompts for a model may take at each copy before another copy is loaded.
	// While an engine reads a chunk of a prompt, all its streams wait: if reading
	// takes a third of its time, their events come half a second apart.
	replicaUtilization = 0.2
	// replicaInterval is the minimum time between two requests for copies of
	// one model; a load from disk takes less than a second.
	replicaInterval = 700 * time.Millisecond
)

// chooseReplica returns an engine on which to load another copy of the model,
// or nil if none is needed or possible. It estimates the total demand as that
// of this instance times the number of entry instances.
func (p *Pool) chooseReplica(q *Query, best candidate, copies int, withoutModel []candidate, now time.Time) *Choice {
	demand := p.demandFor(q.Model)
	if now.Sub(demand.replicaRequestedAt) < replicaInterval {
		return nil
	}
	entries := float64(max(1, p.view.EntryCount()))
	slow := float64(best.delay) > replicaDelayShare*float64(q.Objective)
	if !slow && demand.utilization(now)*entries/float64(copies) < replicaUtilization {
		return nil
	}
	r := p.fastestLoad(q, withoutModel, now)
	if r == nil || r.LoadTime > maxReplicaLoadTime {
		return nil
	}
	demand.replicaRequestedAt = now
	r.Demand = demand.requestsAt(now) * entries / float64(copies+1)
	return r
}

// maxReplicaLoadTime excludes copies that would be loaded from the weight store,
// because its limited load rate is needed for models that no engine has.
const maxReplicaLoadTime = 4 * time.Second

// pickEngine chooses an engine that has the model loaded or, if there is none, the
// engine that can load it soonest. If the engines that have the model are too slow
// or too busy, the result also names a Replica, another engine on which to load it.
func (p *Pool) pickEngine(q *Query, candidates []candidate, now time.Time) (*Choice, Unavailable) {
	var withModel, withoutModel []candidate
	for _, c := range candidates {
		if c.hasModel {
			withModel = append(withModel, c)
		} else if c.state.agentAddr != "" {
			withoutModel = append(withoutModel, c)
		}
	}
	if len(withModel) > 0 {
		best := slices.MinFunc(withModel, compareDelay)
		choice := best.choice()
		if choice.NeedsLoad = !best.hasAdapter; choice.NeedsLoad {
			choice.LoadTime = adapterLoadTime + best.state.remainingLoadTime(now)
		}
		choice.Replica = p.chooseReplica(q, best, len(withModel), withoutModel, now)
		if over, wait := overloaded(q, best); over {
			return nil, Unavailable{Reason: "the engines with the model are overloaded", RetryAfter: wait, Overloaded: true, Replica: choice.Replica}
		}
		return choice, Unavailable{}
	}
	choice := p.fastestLoad(q, withoutModel, now)
	if choice == nil {
		return nil, Unavailable{Reason: "no engine can load the model"}
	}
	if choice.FromStore {
		// StoreLoads decides on loads from the weight store, not single
		// requests.
		return nil, Unavailable{Reason: "the model must be loaded from the weight store", RetryAfter: p.storeWait(q, choice.LoadTime, now), PollAfter: storePollInterval, LoadPending: true}
	}
	return choice, Unavailable{}
}

// Estimates for loads queued at one engine.
const (
	// queuedLoadTime is added for each load queued ahead of this one.
	queuedLoadTime = 900 * time.Millisecond
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
		t := loadTime(candidates[i].state, model, now)
		if best == nil || t < bestTime || t == bestTime && candidates[i].rank < best.rank {
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

// loadTime estimates how long until an engine has loaded a model.
func loadTime(s *state, m fleet.Model, now time.Time) time.Duration {
	h := s.holdings(now)
	t := m.StoreLoadTime
	if h != nil && slices.Contains(h.InMemory, m.Name) {
		t = m.MemoryLoadTime
	} else if h != nil && slices.Contains(h.OnDisk, m.Name) {
		t = m.DiskLoadTime
	}
	if !s.hasAgentState(now) {
		return t + unloadTime + unknownAgentPenalty
	}
	if s.agent.Loading == m.Name {
		return s.remainingLoadTime(now)
	}
	ahead := slices.Index(s.agent.LoadQueue, m.Name)
	if ahead < 0 {
		ahead = len(s.agent.LoadQueue)
	}
	return t + unloadTime + s.remainingLoadTime(now) + time.Duration(ahead)*queuedLoadTime
}

func (c *candidate) choice() *Choice {
	return &Choice{Upstream: c.state.upstream, AgentAddr: c.state.agentAddr, Delay: c.delay, UncachedTokens: c.uncachedTokens}
}
