package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/rendezvous"
	"github.com/jacinthbend/jacinthbend/internal/speed"
	"github.com/jacinthbend/jacinthbend/internal/spill"
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
	// promptTime is the part of delay in which the request's own prompt is read.
	promptTime time.Duration
	// rankShift is what is added to delay to compare candidates.
	rankShift time.Duration
	// needsPermit means that the agent must admit the request: to a cold engine if cold is
	// set, and to one that names a rate limit if rateLimit is not 0.
	needsPermit bool
	cold        bool
	rateLimit   float64
	// rank is the rendezvous rank of the upstream for the model, once it is needed; it breaks
	// ties.
	rank   uint64
	ranked bool
	// reason is why q leaves the data centre for the upstream, or empty.
	reason spill.Reason
}

// Pick chooses an upstream for q.
func (p *Pool) Pick(q *Query) (*Choice, Unavailable) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return nil, unusable("no configuration received yet")
	}
	if q.VersionBound && !p.versionListed(q.Service, q.Version) {
		return nil, Unavailable{Reason: "no upstream of the software version that began the stream is left", Obstacle: VersionGone{}}
	}
	if q.Model != "" {
		return p.pickEngine(q, now)
	}
	candidates, wait := p.candidates(q, p.byService[q.Service], promptHashes{}, now)
	if len(candidates) == 0 && wait == 0 {
		return nil, Unavailable{Reason: p.unusableReason(q, now)}
	}
	if len(candidates) == 0 {
		return nil, noCandidate(wait, nil)
	}
	best := p.retest(q, candidates, p.bestSide(q, candidates, now), now)
	return best.choice(), Unavailable{}
}

// noCandidate tells why no upstream is usable; wait is when one may be used, or 0, and queue the
// engine that can keep a place until then, or nil.
func noCandidate(wait time.Duration, queue *Choice) Unavailable {
	if wait > 0 {
		return Unavailable{Reason: "all usable upstreams are at their rate limits or want a pause", Obstacle: AtLimit{RetryAfter: wait, Queue: queue}}
	}
	return unusable("no usable upstream for the service")
}

// candidates returns those of states that may take q now. wait is the shortest time until
// a cold one may, or 0.
func (p *Pool) candidates(q *Query, states map[*state]struct{}, hashes promptHashes, now time.Time) (out []candidate, wait time.Duration) {
	model := p.modelSpeed(q)
	out = make([]candidate, 0, len(states))
	for s := range states {
		if q.Tried[s.upstream.ID] || !p.usableFor(q, s, now) {
			continue
		}
		w, needsPermit := p.sendWait(s, now)
		if w > 0 {
			wait = shorterWait(wait, w)
			continue
		}
		c := p.candidate(s, q, hashes, model, now)
		c.needsPermit, c.rateLimit = needsPermit, s.rateLimit(now)
		if needsPermit {
			_, c.cold = p.coldWait(s, now)
		}
		out = append(out, c)
	}
	return out, wait
}

// shorterWait returns the shorter of two waits, of which 0 is none.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

func (p *Pool) candidate(s *state, q *Query, hashes promptHashes, model float64, now time.Time) candidate {
	c := candidate{state: s}
	l := s.loadSnapshot(now, p.dataCentre)
	l.remote = l.remote && p.bounds.SpillWeight == 0
	c.failurePenalty = speed.Milliseconds(l.failureRate * failurePenaltyMS)
	if !q.Repeatable && s.health.suspected(now) {
		c.rankShift = suspectPenalty
	}
	if q.Model == "" {
		c.delay = plainDelay(l, s.upstream.Capacity, s.speed.Plain(now))
		return c
	}
	h := s.holdings(now)
	c.hasModel, c.hasAdapter = h.HasModel(q.Model), h.HasAdapter(q.Model, q.Adapter)
	c.uncachedTokens = max(0, q.TokensIn-s.prefixes.cachedTokens(hashes, q.Prompt, p.cachedParts(s, now), now.Add(-p.reportLag)))
	e := s.speed.FirstToken(l.work(c.uncachedTokens, model), now)
	c.promptTime = speed.Milliseconds(e.Prompt)
	c.delay = e.Total() + l.extraDelay()
	c.rankShift += speed.Milliseconds(s.speed.Rank(e.TotalMS())-e.TotalMS()) + pausePenalty(q, s, now)
	c.rankShift += time.Duration(generationShare * float64(s.speed.GenerationTime(q.TokensOut, l.runningNow())))
	if c.hasModel && !c.hasAdapter {
		// An engine takes no adapter order while it loads a model.
		c.delay += adapterLoadTime + s.remainingLoadTime(now)
	}
	return c
}

// generationShare is the part of the time to generate a response that counts when engines are compared,
// beside the time to the first token. The longer a stream lasts, the more prompts of others it has to pause
// for, and the more often a fault cuts it off.
const generationShare = 0.25

// rankFor returns the rendezvous rank of the upstream for a model.
func (c *candidate) rankFor(model string) uint64 {
	if !c.ranked {
		c.rank, c.ranked = rendezvous.Rank(model, c.state.upstream.ID), true
	}
	return c.rank
}

// fastest returns the candidate that comes first by its delay and rankShift.
func fastest(candidates []candidate, model string) *candidate {
	best := &candidates[0]
	for i := range candidates[1:] {
		if c := &candidates[1+i]; c.before(best, model) {
			best = c
		}
	}
	return best
}

// compare compares candidates by delay and rankShift.
func (c *candidate) compare(other *candidate) int {
	return cmp.Compare(c.delay+c.rankShift, other.delay+other.rankShift)
}

// before reports whether c comes before other, among equal ones by the lower rank.
func (c *candidate) before(other *candidate, model string) bool {
	d := c.compare(other)
	return d < 0 || d == 0 && c.rankFor(model) < other.rankFor(model)
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
func (p *Pool) chooseReplica(q *Query, best *candidate, copies int, now time.Time) *Choice {
	demand := p.demandFor(q.Model)
	if now.Sub(demand.replicaRequestedAt) < replicaInterval {
		return nil
	}
	entries := float64(max(1, p.entryCount))
	slow := float64(best.delay) > replicaDelayShare*float64(q.Objective)
	if !slow && demand.utilization(now)*entries/float64(copies) < replicaUtilization && !p.exceedsLimits(q.Service, q.Model, demand.requestsAt(now)*entries, now) {
		return nil
	}
	return p.replica(q, copies, now)
}

// replica returns an engine on which to load another copy of the model, or nil if none can
// load it soon or one was requested lately. An engine that names a rate limit is no help.
func (p *Pool) replica(q *Query, copies int, now time.Time) *Choice {
	demand := p.demandFor(q.Model)
	if now.Sub(demand.replicaRequestedAt) < replicaInterval {
		return nil
	}
	r, _ := p.pickLoad(q, now)
	if r == nil || r.RateLimit > 0 || r.LoadTime > maxReplicaLoadTime {
		return nil
	}
	demand.replicaRequestedAt = now
	r.Demand = demand.requestsAt(now) * float64(max(1, p.entryCount)) / float64(copies+1)
	return r
}

// maxReplicaLoadTime excludes copies that would be loaded from the weight store,
// because its limited load rate is needed for models that no engine has.
const maxReplicaLoadTime = 4 * time.Second

// pickEngine chooses an engine that has the model loaded or, if there is none, the
// engine that can load it soonest. If the engines that have the model are too slow
// or too busy, the result also names a Replica, another engine on which to load it.
// It looks only at the engines that may have the model, so that its cost does not grow
// with the fleet.
func (p *Pool) pickEngine(q *Query, now time.Time) (*Choice, Unavailable) {
	hashes := p.hashPrompt(q)
	loaded := ofVersion(q, p.index.loaded[copyKey{q.Service, q.Model}])
	withModel, coldWait := p.candidates(q, loaded, hashes, now)
	withModel = slices.DeleteFunc(withModel, func(c candidate) bool { return !c.hasModel })
	if len(withModel) > 0 {
		return p.pickLoaded(q, withModel, now)
	}
	choice, wait := p.pickLoad(q, now)
	if coldWait > 0 && p.onlyRatesBind(loaded, now) && (choice == nil || choice.FromStore || coldWait <= choice.LoadTime) {
		// The engines with the model have room sooner than another engine.
		unavailable := noCandidate(coldWait, p.shortestQueue(q, hashes, now))
		unavailable.Replica = p.replica(q, len(loaded), now)
		return nil, unavailable
	}
	if choice == nil {
		if wait = shorterWait(coldWait, wait); wait > 0 {
			return nil, noCandidate(wait, nil)
		}
		return nil, unusable("no engine can load the model")
	}
	if choice.FromStore && q.VersionBound {
		// StoreLoads loads a model where it can be loaded soonest, which may be at another version.
		return nil, unusable("no engine of the software version that began the stream has the model")
	}
	if choice.FromStore {
		// StoreLoads decides on loads from the weight store, not single
		// requests.
		return nil, Unavailable{Reason: "the model must be loaded from the weight store", Obstacle: LoadPending{RetryAfter: p.storeWait(q, choice.LoadTime, now), PollAfter: storePollInterval}}
	}
	return choice, Unavailable{}
}

// ofVersion returns those of states that q may go to by their software version.
func ofVersion(q *Query, states map[*state]struct{}) map[*state]struct{} {
	if !q.VersionBound {
		return states
	}
	out := make(map[*state]struct{}, len(states))
	for s := range states {
		if s.upstream.Version == q.Version {
			out[s] = struct{}{}
		}
	}
	return out
}

// onlyRatesBind reports whether all usable upstreams name rate limits, or all want a pause.
func (p *Pool) onlyRatesBind(states map[*state]struct{}, now time.Time) bool {
	if _, limited := p.limitSum(states, now); limited {
		return true
	}
	paused := false
	for s := range states {
		if !p.usable(s, now) {
			continue
		}
		if s.said.pause(now) == 0 {
			return false
		}
		paused = true
	}
	return paused
}

// pickLoaded chooses among the engines that have the model loaded.
func (p *Pool) pickLoaded(q *Query, withModel []candidate, now time.Time) (*Choice, Unavailable) {
	best := p.retest(q, withModel, p.bestSide(q, withModel, now), now)
	choice := best.choice()
	if choice.NeedsLoad = !best.hasAdapter; choice.NeedsLoad {
		choice.LoadTime = adapterLoadTime + best.state.remainingLoadTime(now)
	}
	choice.Replica = p.chooseReplica(q, best, len(withModel), now)
	if over, wait := overloaded(q, best); over {
		return nil, Unavailable{Reason: "the engines with the model are overloaded", Obstacle: Overloaded{RetryAfter: wait}, Replica: choice.Replica}
	}
	return choice, Unavailable{}
}

func (c *candidate) choice() *Choice {
	return &Choice{NeedsPermit: c.needsPermit, Cold: c.cold, RateLimit: c.rateLimit, Upstream: c.state.upstream, AgentAddr: c.state.agentAddr, Delay: c.delay, UncachedTokens: c.uncachedTokens, Leaves: c.reason}
}
