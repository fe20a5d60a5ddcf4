package upstream

import "time"

// Cold reports whether the upstream has started shortly before.
func (p *Pool) Cold(upstreamID string) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	return ok && s.cold(now)
}

// Leaving reports whether the upstream has announced that it ends, or is no longer listed.
func (p *Pool) Leaving(upstreamID string) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	if !ok || p.view.Upstreams[upstreamID] == nil {
		return true
	}
	return s.upstream.Draining || !s.said.leavingSince.IsZero() || s.agent != nil && s.hasAgentState(now) && s.agent.Draining
}
