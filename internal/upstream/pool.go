package upstream

import (
	"math"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Bounds for cold upstreams that all instances share.
type Bounds struct {
	// ColdOver times the rate that a cold upstream bears, plus ColdSlack, is the
	// most that all instances together may send in a second.
	ColdOver  float64
	ColdSlack float64
}

// coldUse is the part of the bound that is used; the rest covers instances
// that are not known yet.
const coldUse = 0.8

// Pool tracks all upstreams of an instance. It is safe for concurrent use.
type Pool struct {
	self       string
	bounds     Bounds
	dataCentre string

	mu   sync.Mutex
	view *fleet.View
	// rank is the place of this instance among the entry instances.
	rank   int
	states map[string]*state
	// newest is the upstream that started last at each address.
	newest map[string]string
	asked  map[string]*askedFor
	// storeLimits are kept for each service.
	storeLimits map[string]*storeLimit
	// atHandAt is when a copy of a model was last seen, by service and model.
	atHandAt map[string]time.Time
}

// NewPool returns the pool of the entry instance called self, without upstreams.
func NewPool(self, dataCentre string, b Bounds) *Pool {
	return &Pool{self: self, bounds: b, dataCentre: dataCentre, states: make(map[string]*state), asked: make(map[string]*askedFor), storeLimits: make(map[string]*storeLimit), atHandAt: make(map[string]time.Time)}
}

// Update takes over a new view.
func (p *Pool) Update(v *fleet.View) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view
	p.view, p.rank = v, v.EntryRank(p.self)
	for id, u := range v.Upstreams {
		s, ok := p.states[id]
		if !ok {
			s = newState(u)
			p.states[id] = s
		}
		if ok && s.up.StartedAtMS != u.StartedAtMS {
			p.states[id] = newState(u)
			p.states[id].inFlight = s.inFlight
			s = p.states[id]
		}
		if u.ColdLeftMS > 0 && (!ok || s.up != u) {
			s.coldUntil = now.Add(time.Duration(u.ColdLeftMS) * time.Millisecond)
		}
		// The platform may let the upstreams of a data centre turn cold while it is out.
		if old != nil && old.Evacuated[u.DataCentre] && !v.Evacuated[u.DataCentre] {
			s.health.suspectUntil = now.Add(coldAfterReturn)
		}
		s.up = u
	}
	for id, s := range p.states {
		if _, ok := v.Upstreams[id]; !ok && s.inFlight == 0 {
			delete(p.states, id)
		}
	}
	p.newest = make(map[string]string, len(v.Upstreams))
	for id, u := range v.Upstreams {
		if other, ok := v.Upstreams[p.newest[u.Addr]]; !ok || u.StartedAtMS > other.StartedAtMS {
			p.newest[u.Addr] = id
		}
	}
	p.matchAgents(v)
}

// matchAgents finds the agent beside each upstream by its address.
func (p *Pool) matchAgents(v *fleet.View) {
	agents := make(map[string]string)
	for _, m := range v.Members {
		if m.Role == fleet.RoleAgent {
			agents[m.UpstreamAddr] = m.Addr
		}
	}
	for _, s := range p.states {
		s.agentAddr = agents[s.up.Addr]
	}
}

// Agent is an agent to watch.
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

// Heard takes over an agent's state.
func (p *Pool) Heard(upstreamID string, st *agentapi.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[upstreamID]; ok {
		if s.agent != nil && s.agent.StoreLoad && st.Known && !st.StoreLoad {
			p.storeLimitOf(s.up.Service).took(st.StoreSlowdown, p.runningStoreLoads(s.up.Service, time.Now()))
		}
		s.agent, s.agentAt = st, time.Now()
		if st.Known {
			s.heardAt = s.agentAt
		}
	}
}

// AgentLost notes that an agent does not answer. If its whole machine is silent,
// so is the engine on it, as far as this instance can tell.
func (p *Pool) AgentLost(upstreamID string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	switch {
	case !ok:
	case !silent:
		s.heardAt = time.Now()
	case !s.silent():
		s.silentSince = time.Now()
	}
}

// Silent reports whether an upstream has stopped to answer anyone here.
func (p *Pool) Silent(upstreamID string) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	return ok && (s.silent() || s.lost(now))
}

// usable reports whether new work may go to the upstream.
func (p *Pool) usable(s *state, now time.Time) bool {
	if _, listed := p.view.Upstreams[s.up.ID]; !listed {
		return false
	}
	if s.silent() || s.lost(now) || s.replaced(now) || p.newest[s.up.Addr] != s.up.ID {
		return false
	}
	return !s.up.Draining && !p.view.Evacuated[s.up.DataCentre] && !now.Before(s.health.ejectedUntil) &&
		(s.agent == nil || !s.agentKnows(now) || !s.agent.Draining)
}

// coldShare is how many requests a second each entry instance may send to a cold
// upstream of a service; 0 is no limit. All instances work it out from the same
// list, so that their shares together stay below the bound without talking to
// each other.
func (p *Pool) coldShare(service string) float64 {
	rate := p.view.Config.Services[service].MaxColdRate
	if rate <= 0 {
		return 0
	}
	return coldUse * (rate*p.bounds.ColdOver + p.bounds.ColdSlack) / float64(max(1, p.view.EntryCount()))
}

// coldWait returns how long a cold upstream has to be left alone.
func (p *Pool) coldWait(s *state, now time.Time) time.Duration {
	if !s.cold(now) {
		return 0
	}
	share := p.coldShare(s.up.Service)
	switch {
	case share == 0:
		return 0
	case share >= 1:
		return s.sends.wait(now, int(share))
	}
	// Less than one request a second: the instances take turns by the time of day.
	// Any second touches at most two turns, so each turn has half of the bound.
	const turnsInSecond = 2
	turns := int64(math.Ceil(turnsInSecond / share))
	ahead := (int64(p.rank)%turns - now.UnixNano()/int64(coldSpan)%turns + turns) % turns
	if ahead == 0 {
		return s.sends.wait(now, 1)
	}
	begun := time.Duration(now.UnixNano() % int64(coldSpan))
	return time.Duration(ahead)*coldSpan - begun
}

// Ticket is one attempt at an upstream.
type Ticket struct {
	pool    *Pool
	state   *state
	name    string
	pending int
	hashes  []uint64
}

// Begin counts an attempt in; End must follow. Without a ticket the upstream
// may not get the request now: it is no longer usable, or it is cold and has its
// share for this moment. The choice may be old, since a load lies between, and
// all requests that waited for the load come at once.
func (p *Pool) Begin(c *Choice, q *Query) (*Ticket, Shortage) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[c.Upstream.ID]
	if !ok || !p.usable(s, now) {
		return nil, Shortage{Reason: "the upstream is no longer usable"}
	}
	if wait := p.coldWait(s, now); wait > 0 {
		return nil, Shortage{Reason: "the upstream is cold", After: wait}
	}
	s.sends.add(now)
	s.inFlight++
	t := &Ticket{pool: p, state: s, name: q.Name(), pending: c.Uncached}
	s.pendingTokens += t.pending
	if q.Model != "" {
		u := s.use(t.name)
		u.inFlight++
		u.recent++
		t.hashes = chain(t.name, q.Prompt)
		s.prefixes.add(t.hashes)
	}
	return t, Shortage{}
}

// Answered notes the head of the answer: the prompt has been read.
func (t *Ticket) Answered(a fleet.ResponseAttributes) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.read()
	t.state.heardAt = time.Now()
	if a.HasLoad {
		t.state.headRunning, t.state.headWaiting, t.state.headAt = a.Running, a.Waiting, time.Now()
	}
}

// Heard notes that more of the answer came.
func (t *Ticket) Heard() {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.state.heardAt = time.Now()
}

func (t *Ticket) read() {
	t.state.pendingTokens -= t.pending
	t.pending = 0
}

// End counts the attempt out.
func (t *Ticket) End(o Outcome) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.read()
	t.state.inFlight--
	if u, ok := t.state.byName[t.name]; ok {
		u.inFlight--
	}
	t.state.health.record(o, time.Now())
	if o == Unreachable {
		t.state.prefixes.clear()
	}
}

// Missing notes that the upstream does not hold what the list says; the agent's
// next report tells what it holds.
func (p *Pool) Missing(upstreamID, model, adapter string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	if !ok {
		return
	}
	old := s.holdings(time.Now())
	if old == nil {
		return
	}
	h := &fleet.Holdings{Adapters: make(map[string][]string), InMemory: old.InMemory, OnDisk: old.OnDisk}
	for m, adapters := range old.Adapters {
		if m == model && adapter == "" {
			continue
		}
		var kept []string
		for _, a := range adapters {
			if m != model || a != adapter {
				kept = append(kept, a)
			}
		}
		h.Adapters[m] = kept
	}
	s.setHoldings(h, time.Now())
}

// Loaded notes that an agent has loaded a model or adapter, before its next
// report says so.
func (p *Pool) Loaded(upstreamID, model, adapter string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	if !ok {
		return
	}
	now := time.Now()
	old := s.holdings(now)
	if old == nil || old.HasAdapter(model, adapter) {
		return
	}
	h := &fleet.Holdings{Adapters: make(map[string][]string), InMemory: old.InMemory, OnDisk: old.OnDisk}
	for m, adapters := range old.Adapters {
		h.Adapters[m] = adapters
	}
	if adapter != "" {
		h.Adapters[model] = append(append([]string(nil), h.Adapters[model]...), adapter)
	} else if _, ok := h.Adapters[model]; !ok {
		h.Adapters[model] = nil
	}
	s.setHoldings(h, now)
}

func (s *state) setHoldings(h *fleet.Holdings, now time.Time) {
	if s.agentKnows(now) {
		c := *s.agent
		c.Holdings = h
		s.agent = &c
		return
	}
	u := *s.up
	u.Holdings = h
	s.up = &u
}

// Known reports whether any upstream uses addr.
func (p *Pool) Known(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.states {
		if s.up.Addr == addr {
			return true
		}
	}
	return false
}
