package upstream

import (
	"slices"
	"time"
)

// UnplacedModel is a model that no engine has at hand, with the engine to load it.
type UnplacedModel struct {
	Model     string
	AgentAddr string
}

// Unplaced returns the models that only the weight store has. The first request
// for one of them would wait for a load of many seconds, longer than most
// callers do. Nothing is returned while an engine's agent is silent, since it may
// have what the others lack.
func (p *Pool) Unplaced() []UnplacedModel {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return nil
	}
	var out []UnplacedModel
	for name, service := range p.view.Config.Services {
		if service.Engine == nil {
			continue
		}
		var engines []candidate
		atHand := make(map[string]bool)
		complete := true
		for _, s := range p.states {
			if s.up.Service != name || !p.usable(s, now) {
				continue
			}
			if !s.agentKnows(now) {
				complete = false
				break
			}
			h := s.holdings(now)
			for m := range h.Adapters {
				atHand[m] = true
			}
			for _, m := range slices.Concat(h.InMemory, h.OnDisk, s.agent.Wanted, []string{s.agent.Loading}) {
				atHand[m] = true
			}
			engines = append(engines, candidate{state: s})
		}
		if !complete {
			continue
		}
		for model := range service.Engine.Models {
			if atHand[model] {
				continue
			}
			for i := range engines {
				engines[i].rank = rendezvous(model, engines[i].state.up.ID)
			}
			if c := p.fastestLoad(&Query{Service: name, Model: model}, engines, now); c != nil {
				out = append(out, UnplacedModel{Model: model, AgentAddr: c.AgentAddr})
			}
		}
	}
	return out
}
