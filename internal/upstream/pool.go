package upstream

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/promptcache"
	"github.com/jacinthbend/jacinthbend/internal/speed"
	"github.com/jacinthbend/jacinthbend/internal/spill"
)

// Bounds are the limits on the requests of all instances to cold upstreams.
type Bounds struct {
	// In any second, all instances together may send a cold upstream at most
	// ColdOver times its Service.MaxColdRate, plus ColdSlack, requests.
	ColdOver  float64
	ColdSlack float64
	// DrainTime is for how long after its announcement a leaving upstream still takes requests;
	// 0 is unknown.
	DrainTime time.Duration
	// SpillWeight is the part of the price of bytes between data centres that counts in the
	// decision whether a request leaves its data centre; 0 is no decision, but a constant delay.
	SpillWeight float64
}

// Pool tracks all upstreams known to an instance. It is safe for concurrent
// use.
type Pool struct {
	self       string
	bounds     Bounds
	dataCentre string

	createdAt time.Time

	mu   sync.Mutex
	view *fleet.View
	// entryRank is the position of this instance among the entry instances.
	entryRank int
	// entryCount is the number of entry instances.
	entryCount int
	states     map[string]*state
	// byService has the states by service.
	byService map[string]map[*state]struct{}
	index     modelIndex
	// newestByAddr is the ID of the most recently started upstream at each
	// address.
	newestByAddr map[string]string
	// answers are by address which upstream has answered there instead of the newest one.
	answers map[string]answer
	demands map[string]*modelDemand
	// speeds are by service.
	speeds map[string]*speed.Group
	// retests is how many requests may go to an upstream to learn whether it is still slow.
	retests float64
	// storeLimits are by service.
	storeLimits map[string]*storeLimit
	// lastAvailable is when a model was last found outside the weight store, by
	// service and model.
	lastAvailable map[string]time.Time
	// copyCounts is how many usable upstreams have a model or adapter loaded, by
	// service and name, as of copyCountsAt.
	copyCounts map[copyKey]int
	// availableCounts is how many usable upstreams have a model loaded, in memory or on disk, as of
	// copyCountsAt.
	availableCounts map[copyKey]int
	copyCountsAt    time.Time
	// loadProgress has the channels to close when an engine starts or ends to load a
	// model.
	loadProgress map[copyKey]chan struct{}
	// entriesHere is the number of entry instances in the data centre of this one.
	entriesHere int
	// dampers and answerBytes are by service.
	dampers     map[string]*spill.Damper
	answerBytes map[string]*meanBytes
	crossings   *crossings
	prompts     promptMetrics
	// cacheReports tells that an engine has reported which prompt parts it has cached.
	cacheReports bool
	// reportLag is how long after a prompt was sent its parts may be missing from the reports.
	reportLag time.Duration
	// fleetDemand, if set, is the demand of several instances.
	fleetDemand FleetDemand
	// busy has the running requests of the services whose number of servers is decided here.
	busy map[busyKey]*busyMean
}

// NewPool returns the pool of the entry instance called self, without
// upstreams.
func NewPool(self, dataCentre string, b Bounds) *Pool {
	return &Pool{index: newModelIndex(), self: self, bounds: b, dataCentre: dataCentre, createdAt: time.Now(), states: make(map[string]*state), answers: make(map[string]answer), demands: make(map[string]*modelDemand), speeds: make(map[string]*speed.Group), storeLimits: make(map[string]*storeLimit), lastAvailable: make(map[string]time.Time), loadProgress: make(map[copyKey]chan struct{}), busy: make(map[busyKey]*busyMean), dampers: make(map[string]*spill.Damper), answerBytes: make(map[string]*meanBytes), crossings: newCrossings(metrics.NewSet()), prompts: newPromptMetrics(metrics.NewSet())}
}

// Update applies a new view.
func (p *Pool) Update(v *fleet.View) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view
	p.view, p.entryRank, p.entryCount = v, v.EntryRank(p.self), v.EntryCount()
	p.entriesHere = entriesIn(v, p.dataCentre)
	for id, u := range v.Upstreams {
		s, ok := p.states[id]
		if !ok {
			s = p.newState(u, now)
			p.states[id] = s
		}
		if ok && s.upstream.StartedAtMS != u.StartedAtMS {
			p.index.remove(s)
			s.speed.Remove()
			// The attempts at the instance before the restart stay with its state.
			s = p.newState(u, now)
			p.states[id] = s
		}
		if s.upstream.Version != u.Version {
			s.speed.Reset(now)
		}
		if u.ColdLeftMS > 0 && (!ok || s.upstream != u) {
			s.coldUntil = now.Add(time.Duration(u.ColdLeftMS) * time.Millisecond)
		}
		// Upstreams may have turned cold while their data centre was evacuated.
		if old != nil && old.Evacuated[u.DataCentre] && !v.Evacuated[u.DataCentre] {
			s.health.assumedColdUntil = now.Add(assumedColdTime)
		}
		if _, indexed := p.index.keys[s]; !indexed || s.upstream != u {
			s.upstream = u
			p.index.update(s)
		}
		s.noteLeaving(now)
	}
	for id, s := range p.states {
		if _, ok := v.Upstreams[id]; !ok && s.inFlight == 0 && !s.said.inForce(now) {
			p.index.remove(s)
			s.speed.Remove()
			delete(p.states, id)
		}
	}
	p.byService = make(map[string]map[*state]struct{})
	for _, s := range p.states {
		if p.byService[s.upstream.Service] == nil {
			p.byService[s.upstream.Service] = make(map[*state]struct{})
		}
		p.byService[s.upstream.Service][s] = struct{}{}
	}
	p.newestByAddr = make(map[string]string, len(v.Upstreams))
	for id, u := range v.Upstreams {
		if other, ok := v.Upstreams[p.newestByAddr[u.Addr]]; !ok || u.StartedAtMS > other.StartedAtMS {
			p.newestByAddr[u.Addr] = id
		}
	}
	p.reportLag = promptcache.Lag(len(v.Upstreams))
	p.dropOldAnswers()
	p.matchAgents(v)
}

// matchAgents sets the agent of each upstream: the one that announced the address
// of the upstream.
func (p *Pool) matchAgents(v *fleet.View) {
	agents := make(map[string]string)
	for _, m := range v.Members {
		if m.Role == fleet.RoleAgent {
			agents[m.UpstreamAddr] = m.Addr
		}
	}
	for _, s := range p.states {
		s.agentAddr = agents[s.upstream.Addr]
	}
}

// Unresponsive reports whether this instance gets no response from the upstream
// and its machine, or the agent reports that the engine does not answer.
func (p *Pool) Unresponsive(upstreamID string) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	return ok && (s.machineUnresponsive() || s.engineUnresponsive(now))
}

// usable reports whether new requests may go to the upstream.
func (p *Pool) usable(s *state, now time.Time) bool { return p.responsive(s, now) && !s.leaves(now) }

// usableFor reports whether q may go to the upstream. A stream that only upstreams of one version
// can go on with may also go to one of them that has just announced that it leaves.
func (p *Pool) usableFor(q *Query, s *state, now time.Time) bool {
	switch {
	case !q.VersionBound:
		return p.usable(s, now)
	case q.Version != s.upstream.Version || !p.responsive(s, now):
		return false
	default:
		return !s.leaves(now) || s.leavingFor(now) < time.Duration(leavingShare*float64(p.bounds.DrainTime))
	}
}

// responsive reports whether an upstream is listed, in a data centre in service, and not known to
// be out.
func (p *Pool) responsive(s *state, now time.Time) bool {
	if _, listed := p.view.Upstreams[s.upstream.ID]; !listed {
		return false
	}
	if s.machineUnresponsive() || s.engineUnresponsive(now) || s.replaced(now) || p.currentAt(s.upstream.Addr) != s.upstream.ID {
		return false
	}
	return !p.view.Evacuated[s.upstream.DataCentre] && !now.Before(s.health.ejectedUntil)
}

// versionListed reports whether the list has an upstream of the service with the version.
func (p *Pool) versionListed(service, version string) bool {
	for s := range p.byService[service] {
		if s.upstream.Version == version && p.view.Upstreams[s.upstream.ID] != nil {
			return true
		}
	}
	return false
}

// InFlight returns how many attempts of this instance run at an upstream.
func (p *Pool) InFlight(upstreamID string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[upstreamID]; ok {
		return s.inFlight
	}
	return 0
}

// MarkMissing records that the upstream lacks a model or adapter that its
// holdings list. It applies until the next report.
func (p *Pool) MarkMissing(upstreamID, model, adapter string) {
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
	p.index.update(s)
}

// MarkLoaded records that an agent has loaded a model or adapter, ahead of the
// agent's next report.
func (p *Pool) MarkLoaded(upstreamID, model, adapter string) {
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
	p.index.update(s)
}

func (s *state) setHoldings(h *fleet.Holdings, now time.Time) {
	if s.hasAgentState(now) {
		c := *s.agent
		c.Holdings = h
		s.agent = &c
		return
	}
	u := *s.upstream
	u.Holdings = h
	s.upstream = &u
}

// HasAddr reports whether any upstream has the address addr.
func (p *Pool) HasAddr(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.states {
		if s.upstream.Addr == addr {
			return true
		}
	}
	return false
}

// Upstream returns the upstream called id, and whether it is known.
func (p *Pool) Upstream(id string) (*fleet.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[id]
	if !ok {
		return nil, false
	}
	return s.upstream, true
}
