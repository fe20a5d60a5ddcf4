package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/rendezvous"
)

// candidate is a usable upstream with what the choice needs to know of it.
type candidate struct {
	state    *state
	holds    bool
	adapter  bool
	uncached int
	delay    time.Duration
	// failing is the part of delay that stands for failed attempts.
	failing time.Duration
	rank    uint64
}

// Pick chooses an upstream for q.
func (p *Pool) Pick(q *Query) (*Choice, Shortage) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return nil, Shortage{Reason: "no configuration is known"}
	}
	candidates, wait := p.candidates(q, now)
	if len(candidates) == 0 {
		if wait > 0 {
			return nil, Shortage{Reason: "upstreams are cold", After: wait}
		}
		return nil, Shortage{Reason: "no upstream of the service can be used"}
	}
	if q.Model == "" {
		best := slices.MinFunc(candidates, byDelay)
		return best.choice(), Shortage{}
	}
	return p.pickEngine(q, candidates, now)
}

func (p *Pool) candidates(q *Query, now time.Time) ([]candidate, time.Duration) {
	var out []candidate
	var shortest time.Duration
	var hashes []uint64
	if q.Model != "" {
		hashes = chain(q.Name(), q.Prompt)
	}
	for _, s := range p.states {
		if s.up.Service != q.Service || q.Tried[s.up.ID] || !p.usable(s, now) {
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
	c := candidate{state: s, rank: rendezvous.Rank(q.Model, s.up.ID)}
	l := s.load(now, p.dataCentre)
	c.failing = time.Duration(l.failing * failingMS * float64(time.Millisecond))
	if q.Model == "" {
		c.delay = plainDelay(l, s.up.Capacity)
		return c
	}
	h := s.holdings(now)
	c.holds, c.adapter = h.HasModel(q.Model), h.HasAdapter(q.Model, q.Adapter)
	c.uncached = max(0, q.TokensIn-s.prefixes.cached(hashes, q.Prompt))
	c.delay = engineDelay(l, c.uncached)
	if c.holds && !c.adapter {
		// An engine that loads a model takes no order for an adapter meanwhile.
		c.delay += adapterLoad + s.loadingLeft(now)
	}
	return c
}

func byDelay(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(a.rank, b.rank))
}

// Figures for further copies of a model.
const (
	// replicaDelay is the share of the objective above which another copy of a
	// model is worth its load.
	replicaDelay = 0.4
	// replicaBusy is the share of an engine's time that prompts of a model may
	// take at each copy. Each piece of a prompt delays the tokens of all streams
	// that the engine runs: at a third of its time their events come half a
	// second apart.
	replicaBusy = 0.2
	// replicaPause is the time between two requests for copies of one model; a load
	// from disk takes less than a second.
	replicaPause = 700 * time.Millisecond
)

// replica returns an engine at which another copy of the model is worth its
// load. This instance's demand stands for that of every other one.
func (p *Pool) replica(q *Query, best candidate, copies int, other []candidate, now time.Time) *Choice {
	a := p.askedOf(q.Model)
	if now.Sub(a.copyAskedAt) < replicaPause {
		return nil
	}
	entries := float64(max(1, p.view.EntryCount()))
	slow := float64(best.delay) > replicaDelay*float64(q.Objective)
	if !slow && a.busy(now)*entries/float64(copies) < replicaBusy {
		return nil
	}
	r := p.fastestLoad(q, other, now)
	if r == nil || r.LoadTime > maxReplicaLoad {
		return nil
	}
	a.copyAskedAt = now
	r.Worth = a.value(now) * entries / float64(copies+1)
	return r
}

// maxReplicaLoad keeps copies for load from coming out of the weight store,
// whose rate models without any copy need.
const maxReplicaLoad = 4 * time.Second

// pickEngine prefers an engine that holds the model. Where none does, or all
// that do are slow, it names the engine at which a load is ready first.
func (p *Pool) pickEngine(q *Query, candidates []candidate, now time.Time) (*Choice, Shortage) {
	var holding, other []candidate
	for _, c := range candidates {
		if c.holds {
			holding = append(holding, c)
		} else if c.state.agentAddr != "" {
			other = append(other, c)
		}
	}
	if len(holding) > 0 {
		best := slices.MinFunc(holding, byDelay)
		choice := best.choice()
		if choice.Load = !best.adapter; choice.Load {
			choice.LoadTime = adapterLoad + best.state.loadingLeft(now)
		}
		choice.Replica = p.replica(q, best, len(holding), other, now)
		if over, wait := overloaded(q, best); over {
			return nil, Shortage{Reason: "the engines with the model are overloaded", After: wait, Overloaded: true, Replica: choice.Replica}
		}
		return choice, Shortage{}
	}
	choice := p.fastestLoad(q, other, now)
	if choice == nil {
		return nil, Shortage{Reason: "no engine can load the model"}
	}
	if choice.FromStore {
		// Loads from the weight store are decided by StoreLoads, not by requests.
		return nil, Shortage{Reason: "only the weight store has the model", After: p.storeWait(q, choice.LoadTime, now), Again: storePoll, Load: true}
	}
	return choice, Shortage{}
}

// Estimates for loads that queue at one engine.
const (
	// orderAhead is what a load that is wanted before adds.
	orderAhead = 900 * time.Millisecond
	// displace is the unload of another model.
	displace = 150 * time.Millisecond
	// silentAgent is what an agent costs that has not been heard of lately.
	silentAgent = 3 * time.Second
)

// fastestLoad returns the engine at which the model is ready first. All entry
// instances see the same holdings and rank ties alike, so they ask one engine.
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
	if !best.state.agentKnows(now) {
		// The agent itself tells at once whether it can load.
		bestTime -= silentAgent
	}
	choice := best.choice()
	choice.Load, choice.LoadTime, choice.FromStore = true, bestTime, fromStore(best.state, model.Name, now)
	return choice
}

// fromStore reports whether a load would take the weights from the weight store,
// and is not under way or asked for.
func fromStore(s *state, model string, now time.Time) bool {
	if h := s.holdings(now); h != nil && (slices.Contains(h.InMemory, model) || slices.Contains(h.OnDisk, model)) {
		return false
	}
	return !s.agentKnows(now) || s.agent.Loading != model && !slices.Contains(s.agent.Wanted, model)
}

// loadTime estimates when an engine has loaded a model.
func loadTime(s *state, m fleet.Model, now time.Time) time.Duration {
	h := s.holdings(now)
	t := m.StoreLoadTime
	if h != nil && slices.Contains(h.InMemory, m.Name) {
		t = m.MemoryLoadTime
	} else if h != nil && slices.Contains(h.OnDisk, m.Name) {
		t = m.DiskLoadTime
	}
	if !s.agentKnows(now) {
		return t + displace + silentAgent
	}
	if s.agent.Loading == m.Name {
		return s.loadingLeft(now)
	}
	ahead := slices.Index(s.agent.Wanted, m.Name)
	if ahead < 0 {
		ahead = len(s.agent.Wanted)
	}
	return t + displace + s.loadingLeft(now) + time.Duration(ahead)*orderAhead
}

func (c *candidate) choice() *Choice {
	return &Choice{Upstream: c.state.up, AgentAddr: c.state.agentAddr, Delay: c.delay, Uncached: c.uncached}
}
