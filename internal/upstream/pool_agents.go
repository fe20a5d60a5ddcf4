package upstream

import (
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
)

// Agent identifies the agent of an upstream.
type Agent struct {
	UpstreamID string
	Addr       string
}

// Agents returns the agents of the known upstreams.
func (p *Pool) Agents() []Agent {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Agent
	for id, s := range p.states {
		if s.agentAddr != "" {
			out = append(out, Agent{UpstreamID: id, Addr: s.agentAddr})
		}
	}
	return out
}

// UpdateAgentState records an agent's report as of at. It ignores a report that is older
// than the last one, as another relay may have it.
func (p *Pool) UpdateAgentState(upstreamID string, st *agentapi.State, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[upstreamID]; ok && !s.agentReportOutdated(st, at) {
		if s.agent != nil && s.agent.LoadingFromStore && st.Reachable && !st.LoadingFromStore {
			p.storeLimitFor(s.upstream.Service).recordLoad(st.StoreSlowdown, p.runningStoreLoads(s.upstream.Service, time.Now()), time.Now())
		}
		p.signalLoadProgress(s, st)
		changed := s.agent == nil || s.agent.Holdings != st.Holdings || s.agent.Loading != st.Loading || !slices.Equal(s.agent.LoadQueue, st.LoadQueue)
		s.agent, s.agentStateAt = st, at
		p.cacheReports = p.cacheReports || st.Cached != nil
		s.noteLeaving(time.Now())
		if changed {
			p.index.update(s)
		}
		s.confirmAgent(at)
	}
}

// ConfirmAgentState records that an agent's last report was still current at at.
func (p *Pool) ConfirmAgentState(upstreamID string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[upstreamID]; ok && s.agent != nil {
		s.confirmAgent(at)
	}
}

// KnownAgents returns how many agents have a report that is recent enough to be used.
func (p *Pool) KnownAgents() int {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.states {
		if s.hasAgentState(now) {
			n++
		}
	}
	return n
}

// AgentUnreachable records that a call to an agent failed. If the call timed
// out, the whole machine is assumed to be unresponsive, and the engine on it
// too. If it failed at once, the machine responds and only the agent is gone.
func (p *Pool) AgentUnreachable(upstreamID string, timedOut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	switch {
	case !ok:
	case !timedOut:
		s.lastContact = time.Now()
	case !s.machineUnresponsive():
		s.unresponsiveSince = time.Now()
	}
}
