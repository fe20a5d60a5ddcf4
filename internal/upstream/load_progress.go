package upstream

import "github.com/jacinthbend/jacinthbend/internal/agentapi"

// LoadProgress returns a channel that is closed when an engine of the service reports
// that it has begun to load the model, or has it loaded.
func (p *Pool) LoadProgress(service, model string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := copyKey{service, model}
	c, ok := p.loadProgress[key]
	if !ok {
		c = make(chan struct{})
		p.loadProgress[key] = c
	}
	return c
}

// signalLoadProgress wakes the requests for models on whose load st reports progress.
func (p *Pool) signalLoadProgress(s *state, st *agentapi.State) {
	for key, c := range p.loadProgress {
		if key.service != s.upstream.Service {
			continue
		}
		loading := st.Loading == key.name && (s.agent == nil || s.agent.Loading != key.name)
		loaded := st.Holdings.HasModel(key.name) && (s.agent == nil || !s.agent.Holdings.HasModel(key.name))
		if loading || loaded {
			close(c)
			delete(p.loadProgress, key)
		}
	}
}
