package upstream

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/rendezvous"
)

// Figures of loads from the weight store.
const (
	// lostGrace is how long a model may be without a copy before it is loaded from
	// the weight store: engines that crash are back with their disks in seconds.
	lostGrace = 2 * time.Second
	// storeTurn is how long one entry instance alone decides on loads from the
	// weight store, so that two do not begin more than may run at once. The news
	// of a load reaches all instances in less.
	storeTurn = 500 * time.Millisecond
	// storeLeastWorth is the least worth of such a load, and storeGain the factor
	// on the demand for the model: what it displaces comes back from disk in under
	// a second.
	storeLeastWorth = 0.5
	storeGain       = 3.0
	// storePoll is how often a waiting request looks for a load of its model.
	storePoll = 250 * time.Millisecond
)

// StoreLoad is a model to load from the weight store, with the engine to load it.
type StoreLoad struct {
	Model     string
	AgentAddr string
	// Worth is the demand that the copy would carry.
	Worth float64
}

// StoreLoads returns the models to load from the weight store now: those that no
// engine has at hand, and those whose engines have too much to do. The first
// request for one of the former would wait for many seconds, longer than most
// callers do. Nothing is returned while an engine's agent is silent, since it may have
// what the others lack, or while another entry instance has the turn.
func (p *Pool) StoreLoads() []StoreLoad {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return nil
	}
	turn := now.UnixNano() / int64(storeTurn)
	if turn%int64(max(1, p.view.EntryCount())) != int64(p.rank) {
		return nil
	}
	var out []StoreLoad
	for name, service := range p.view.Config.Services {
		if service.Engine == nil {
			continue
		}
		if engines, complete := p.engines(name, now); complete {
			out = append(out, p.storeLoadsOf(name, service.Engine, engines, turn, now)...)
		}
	}
	return out
}

// engines returns the usable engines of a service, and whether the agents of all
// of them are known.
func (p *Pool) engines(service string, now time.Time) ([]candidate, bool) {
	var engines []candidate
	for _, s := range p.states {
		if s.up.Service != service || !p.usable(s, now) {
			continue
		}
		if !s.agentKnows(now) {
			return nil, false
		}
		engines = append(engines, candidate{state: s})
	}
	return engines, true
}

func (p *Pool) storeLoadsOf(service string, spec *fleet.Engine, engines []candidate, turn int64, now time.Time) []StoreLoad {
	atHand := make(map[string]bool)
	for _, e := range engines {
		h := e.state.holdings(now)
		for m := range h.Adapters {
			atHand[m] = true
		}
		for _, m := range slices.Concat(h.InMemory, h.OnDisk, e.state.agent.Wanted, []string{e.state.agent.Loading}) {
			atHand[m] = true
		}
	}
	var wanted []StoreLoad
	for model := range spec.Models {
		key := service + "/" + model
		switch {
		case atHand[model]:
			p.atHandAt[key] = now
			if worth := p.storeReplica(model, engines, now); worth > 0 {
				wanted = append(wanted, StoreLoad{Model: model, Worth: worth})
			}
		case now.Sub(p.atHandAt[key]) > lostGrace:
			worth := max(storeLeastWorth, storeGain*p.demandOf(model, now)*float64(max(1, p.view.EntryCount())))
			wanted = append(wanted, StoreLoad{Model: model, Worth: worth})
		}
	}
	slices.SortFunc(wanted, func(a, b StoreLoad) int {
		return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.Model, b.Model))
	})
	free := max(0, p.storeLimitOf(service).limit()-p.runningStoreLoads(service, now))
	var out []StoreLoad
	for _, w := range wanted[:min(free, len(wanted))] {
		// The engine changes from turn to turn, since one may have nothing to displace.
		var without []candidate
		for _, e := range engines {
			if !e.state.holdings(now).HasModel(w.Model) {
				e.rank = rendezvous.Rank(fmt.Sprint(w.Model, turn), e.state.up.ID)
				without = append(without, e)
			}
		}
		c := p.fastestLoad(&Query{Service: service, Model: w.Model}, without, now)
		if c == nil {
			continue
		}
		w.AgentAddr = c.AgentAddr
		out = append(out, w)
		engines = slices.DeleteFunc(engines, func(e candidate) bool { return e.state.up.ID == c.Upstream.ID })
	}
	return out
}

// storeReplicaBusy is the share of the time of each engine with a model that its
// prompts may take, before another copy is worth a load from the weight store.
const storeReplicaBusy = 0.3

// storeReplica returns the worth of another copy of a model from the weight store,
// or 0 if its engines bear the demand or another one has it at hand.
func (p *Pool) storeReplica(model string, engines []candidate, now time.Time) float64 {
	a, ok := p.asked[model]
	if !ok {
		return 0
	}
	copies := 0
	for _, e := range engines {
		h := e.state.holdings(now)
		switch {
		case h.HasModel(model):
			copies++
		case !fromStore(e.state, model, now):
			return 0
		}
	}
	entries := float64(max(1, p.view.EntryCount()))
	if a.busy(now)*entries/float64(max(1, copies)) < storeReplicaBusy {
		return 0
	}
	return a.value(now) * entries / float64(copies+1)
}

// demandOf is the decayed count of this instance's requests for a model.
func (p *Pool) demandOf(model string, now time.Time) float64 {
	if a, ok := p.asked[model]; ok {
		return a.value(now)
	}
	return 0
}

func (p *Pool) storeLimitOf(service string) *storeLimit {
	l, ok := p.storeLimits[service]
	if !ok {
		l = &storeLimit{}
		p.storeLimits[service] = l
	}
	return l
}

// runningStoreLoads counts the loads from the weight store that run or are about to
// begin at a service's engines.
func (p *Pool) runningStoreLoads(service string, now time.Time) int {
	n := 0
	for _, s := range p.states {
		if s.up.Service != service || !s.agentKnows(now) {
			continue
		}
		waits := slices.ContainsFunc(s.agent.Wanted, func(m string) bool {
			h := s.holdings(now)
			return h != nil && !slices.Contains(h.InMemory, m) && !slices.Contains(h.OnDisk, m)
		})
		if s.agent.StoreLoad || waits {
			n++
		}
	}
	return n
}

// storeWait estimates when a model that only the weight store has can be used:
// loads that run come first.
func (p *Pool) storeWait(q *Query, load time.Duration, now time.Time) time.Duration {
	ahead := float64(p.runningStoreLoads(q.Service, now)) / float64(p.storeLimitOf(q.Service).limit())
	return load + time.Duration(ahead*float64(load)) + storeTurn
}
