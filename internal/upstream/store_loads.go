package upstream

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/rendezvous"
)

// Parameters of loads from the weight store.
const (
	// noCopyGrace is how long a model may be without a copy on any engine
	// before it is loaded from the weight store. Engines that crash restart within
	// seconds and keep the models on their disks.
	noCopyGrace = 2 * time.Second
	// storeSlot is the length of the time slots in which the entry instances take
	// turns to decide on loads from the weight store, so that two instances do not
	// together exceed the limit. All instances learn of a new load in less time.
	storeSlot = 500 * time.Millisecond
	// storeDemandFactor multiplies the demand for a model that no engine has, and
	// minStoreDemand is the minimum of the result. The higher value lets the load
	// displace models that are in more demand but can be reloaded from disk in
	// under a second.
	minStoreDemand    = 0.5
	storeDemandFactor = 3.0
	// storePollInterval is how often a waiting request estimates anew when its model
	// will be loaded, if nothing is reported of the model.
	storePollInterval = time.Second
)

// StoreLoad is a load from the weight store.
type StoreLoad struct {
	Model string
	// Agents are the addresses of the agents to ask for it, the preferred one first. An agent declines
	// if its engine cannot begin the load at once.
	Agents []string
	// Demand is the demand attributed to the new copy, as a decayed request
	// count.
	Demand float64
}

// StoreLoads returns the loads from the weight store to start now: models that
// no engine has in memory or on disk, and models whose engines are too busy. The
// former are loaded before a request arrives, because their first request would
// otherwise wait many seconds, longer than most callers do.
//
// StoreLoads returns nothing in the time slots of other entry instances. It also
// returns nothing for a service while the agents of more than one usable engine in
// enginesPerUnreported have not reported, since these may hold models that the others
// lack. What a few of them hold is taken from the platform's list.
func (p *Pool) StoreLoads() []StoreLoad {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return nil
	}
	slot := now.UnixNano() / int64(storeSlot)
	rank, deciders := p.demandSource().Turn()
	if deciders == 0 || slot%int64(deciders) != int64(rank) {
		return nil
	}
	var out []StoreLoad
	for name, service := range p.view.Config.Services {
		if service.Engine == nil {
			continue
		}
		if engines, complete := p.engines(name, now); complete {
			out = append(out, p.planStoreLoads(name, service.Engine, engines, slot, now)...)
		}
	}
	return out
}

// enginesPerUnreported is how many engines there must be for each whose agent has not
// reported. In a large fleet there is nearly always one that has just restarted.
const enginesPerUnreported = 8

// engines returns the usable engines of a service, and false if too many of their agents
// have not reported.
func (p *Pool) engines(service string, now time.Time) ([]candidate, bool) {
	var engines []candidate
	unreported := 0
	for s := range p.byService[service] {
		if !p.usable(s, now) {
			continue
		}
		if !s.hasAgentState(now) {
			unreported++
		}
		engines = append(engines, candidate{state: s, rateLimit: s.rateLimit(now)})
	}
	return engines, unreported <= len(engines)/enginesPerUnreported
}

func (p *Pool) planStoreLoads(service string, spec *fleet.Engine, engines []candidate, slot int64, now time.Time) []StoreLoad {
	available := make(map[string]bool)
	for _, e := range engines {
		e.state.eachAvailable(now, func(model string) { available[model] = true })
	}
	engines = slices.DeleteFunc(engines, func(e candidate) bool { return !e.state.hasAgentState(now) })
	leaving := p.heldByLeaving(service, now)
	var wanted []StoreLoad
	for model := range spec.Models {
		key := service + "/" + model
		switch {
		case available[model]:
			p.lastAvailable[key] = now
			if demand := p.storeReplicaDemand(service, model, engines, now); demand > 0 {
				wanted = append(wanted, StoreLoad{Model: model, Demand: demand})
			}
		case now.Sub(p.lastAvailable[key]) > noCopyGrace || leaving[model]:
			demand := max(minStoreDemand, storeDemandFactor*p.demandSource().Demand(model, now).Requests)
			wanted = append(wanted, StoreLoad{Model: model, Demand: demand})
		}
	}
	slices.SortFunc(wanted, func(a, b StoreLoad) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Model, b.Model))
	})
	limit := p.storeLimitFor(service)
	running := p.runningStoreLoads(service, now)
	free := max(0, limit.limit()-running)
	var out []StoreLoad
	for _, w := range wanted[:min(free, len(wanted))] {
		if w.Demand <= minStoreDemand && running+len(out) >= p.speculativeLoads(limit, now) {
			break
		}
		// The rank changes with each slot, so that another engine is tried if the
		// first has no model that may be displaced.
		var withoutModel []candidate
		for _, e := range engines {
			if !e.state.holdings(now).HasModel(w.Model) {
				e.rank = rendezvous.Rank(fmt.Sprint(w.Model, slot), e.state.upstream.ID)
				withoutModel = append(withoutModel, e)
			}
		}
		chosen := p.storeLoadEngines(withoutLimit(withoutModel), spec, w.Model, now)
		if len(chosen) == 0 {
			continue
		}
		for _, e := range chosen {
			w.Agents = append(w.Agents, e.state.agentAddr)
		}
		out = append(out, w)
		engines = slices.DeleteFunc(engines, func(e candidate) bool {
			return slices.ContainsFunc(chosen, func(c candidate) bool { return c.state == e.state })
		})
	}
	return out
}

// storeReplicaUtilization is the fraction of each engine's time that a model's
// prompts may take before another copy is loaded from the weight store.
const storeReplicaUtilization = 0.3

// storeReplicaDemand returns the expected demand per copy if another copy of a
// model is loaded from the weight store. It returns 0 if the present copies
// suffice or another engine can load the model without the store.
func (p *Pool) storeReplicaDemand(service, model string, engines []candidate, now time.Time) float64 {
	demand := p.demandSource().Demand(model, now)
	if demand.Requests <= 0 {
		return 0
	}
	copies := 0
	for _, e := range engines {
		h := e.state.holdings(now)
		switch {
		case h.HasModel(model):
			copies++
		case !needsStoreLoad(e.state, model, now):
			return 0
		}
	}
	if utilization(demand.PrefillMS)/float64(max(1, copies)) < storeReplicaUtilization && !p.exceedsLimits(service, model, demand.Requests, now) {
		return 0
	}
	return demand.Requests / float64(copies+1)
}

func (p *Pool) storeLimitFor(service string) *storeLimit {
	l, ok := p.storeLimits[service]
	if !ok {
		l = &storeLimit{}
		p.storeLimits[service] = l
	}
	return l
}

// runningStoreLoads counts a service's engines that load from the weight store
// or have such a load queued.
func (p *Pool) runningStoreLoads(service string, now time.Time) int {
	n := 0
	for _, s := range p.states {
		if s.upstream.Service != service || !s.hasAgentState(now) {
			continue
		}
		loadPending := slices.ContainsFunc(s.agent.LoadQueue, func(m string) bool {
			h := s.holdings(now)
			return h != nil && !slices.Contains(h.InMemory, m) && !slices.Contains(h.OnDisk, m)
		})
		if s.agent.LoadingFromStore || loadPending {
			n++
		}
	}
	return n
}

// storeWait estimates how long until a model that only the weight store has is
// loaded, after the loads that are running or queued already.
func (p *Pool) storeWait(q *Query, load time.Duration, now time.Time) time.Duration {
	ahead := float64(p.runningStoreLoads(q.Service, now)) / float64(p.storeLimitFor(q.Service).limit())
	return load + time.Duration(ahead*float64(load)) + storeSlot
}

// startSpan is for how long after the start of an instance callers are expected to send requests soon.
const startSpan = time.Minute

// speculativeLoads returns up to how many concurrent loads one for a model is started that nobody asks for.
// While callers send requests, or are expected to, half of the places are kept for models that they ask for:
// a load cannot be interrupted, and slows down others. The first loads after a start may use all places.
func (p *Pool) speculativeLoads(l *storeLimit, now time.Time) int {
	if !p.demanded(now) && (l.learned == 0 || now.Sub(p.createdAt) > startSpan) {
		return l.limit()
	}
	return max(1, l.limit()/2)
}

// demanded reports whether callers have sent requests for models lately.
func (p *Pool) demanded(now time.Time) bool {
	for _, d := range p.demands {
		if d.requestsAt(now) > minStoreDemand {
			return true
		}
	}
	return false
}

// heldByLeaving returns the models that engines have which have announced their end. Unlike an engine
// that crashed, they do not come back with what is on their disks.
func (p *Pool) heldByLeaving(service string, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for s := range p.byService[service] {
		if h := s.holdings(now); h != nil && s.leaves(now) {
			for model := range heldModels(h) {
				out[model] = true
			}
		}
	}
	return out
}
