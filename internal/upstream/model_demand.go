package upstream

import (
	"math"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// demandHalfLife is the half-life of the decayed request counts. It is short
// because demand moves from one model to another within seconds.
const demandHalfLife = 8 * time.Second

// minReportedDemand is the decayed request count up to which Demand leaves out
// a model, unless requests for it are running or were sent since the last call.
const minReportedDemand = 0.02

// modelDemand is the decayed demand for a model or adapter at this instance.
type modelDemand struct {
	requests float64
	// prefillMS is the decayed sum of the time in ms that an engine needs to
	// read the prompts.
	prefillMS float64
	updatedAt time.Time
	// replicaRequestedAt is when this instance last requested another copy.
	replicaRequestedAt time.Time
}

func (m *modelDemand) decayFactor(now time.Time) float64 {
	return math.Exp2(-now.Sub(m.updatedAt).Seconds() / demandHalfLife.Seconds())
}

func (m *modelDemand) requestsAt(now time.Time) float64 { return m.requests * m.decayFactor(now) }

func (m *modelDemand) add(prefillMS float64, now time.Time) {
	factor := m.decayFactor(now)
	m.requests, m.prefillMS, m.updatedAt = m.requests*factor+1, m.prefillMS*factor+prefillMS, now
}

// utilization returns the fraction of one engine's time that reading the prompts
// of these requests takes.
func (m *modelDemand) utilization(now time.Time) float64 {
	return utilization(m.prefillMS * m.decayFactor(now))
}

// utilization returns the fraction of one engine's time that a decayed sum of prefill
// times stands for.
func utilization(prefillMS float64) float64 {
	meanLifeMS := demandHalfLife.Seconds() / math.Ln2 * 1000
	return prefillMS / meanLifeMS
}

// RecordRequest counts a caller's request for a model or adapter.
func (p *Pool) RecordRequest(q *Query) {
	if q.Model == "" {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	prefillMS := p.speedGroup(q.Service).PrefillMS(q.Model, q.TokensIn)
	p.demandFor(q.Model).add(prefillMS, now)
	if q.Adapter != "" {
		p.demandFor(q.Name()).add(prefillMS, now)
	}
}

func (p *Pool) demandFor(name string) *modelDemand {
	m, ok := p.demands[name]
	if !ok {
		m = &modelDemand{updatedAt: time.Now()}
		p.demands[name] = m
	}
	return m
}

// ownUsage implements UsageSource for the requests of this instance.
type ownUsage struct{ pool *Pool }

func (o ownUsage) Requested(name string, now time.Time) float64 {
	if m, ok := o.pool.demands[name]; ok {
		return m.requestsAt(now)
	}
	return 0
}

func (o ownUsage) TakeUsage(upstreamID, name string) agentapi.Usage {
	return o.pool.states[upstreamID].takeUsage(name)
}

// takeUsage returns the use of a model or adapter of the upstream, and resets the
// count of requests sent.
func (s *state) takeUsage(name string) agentapi.Usage {
	u, ok := s.usageByName[name]
	if !ok {
		return agentapi.Usage{}
	}
	out := agentapi.Usage{Sent: u.sent, InFlight: u.inFlight}
	u.sent = 0
	return out
}

// UsageSource tells what the instances for which an agent is watched request.
type UsageSource interface {
	// Requested returns the decayed count of requests for a model or adapter.
	Requested(name string, now time.Time) float64
	// TakeUsage returns the use of a model or adapter of an upstream since the last
	// call.
	TakeUsage(upstreamID, name string) agentapi.Usage
}

// Demand returns this instance's demand for the models and adapters that an
// upstream holds, for its agent, and resets the counts of requests sent.
func (p *Pool) Demand(upstreamID string) []agentapi.Demand {
	return p.DemandFrom(upstreamID, ownUsage{p})
}

// DemandFrom returns the demand that src reports for the models and adapters that an
// upstream holds. It calls src with the pool locked.
func (p *Pool) DemandFrom(upstreamID string, src UsageSource) []agentapi.Demand {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	if !ok {
		return nil
	}
	h := s.holdings(now)
	if h == nil {
		return nil
	}
	p.countCopies(now)
	var out []agentapi.Demand
	add := func(name string) {
		u := src.TakeUsage(upstreamID, name)
		d := agentapi.Demand{
			Name: name, Copies: p.copyCounts[copyKey{s.upstream.Service, name}],
			Sent: u.Sent, InFlight: u.InFlight, Requested: src.Requested(name, now),
			Elsewhere: max(0, p.availableCounts[copyKey{s.upstream.Service, name}]-1),
		}
		if d.Sent > 0 || d.InFlight > 0 || d.Requested > minReportedDemand || d.Elsewhere > 0 {
			out = append(out, d)
		}
	}
	for model, adapters := range h.Adapters {
		add(model)
		for _, a := range adapters {
			add(model + "/" + a)
		}
	}
	return out
}

// DemandByModel returns this instance's demand by model or adapter.
func (p *Pool) DemandByModel() map[string]agentapi.ModelDemand {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]agentapi.ModelDemand)
	for name, m := range p.demands {
		if n := m.requestsAt(now); n > minReportedDemand {
			out[name] = agentapi.ModelDemand{Requests: n, PrefillMS: m.prefillMS * m.decayFactor(now)}
		}
	}
	return out
}

// TakeUsage returns this instance's use of an upstream by model or adapter, and resets
// the counts of requests sent.
func (p *Pool) TakeUsage(upstreamID string) map[string]agentapi.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	if !ok {
		return nil
	}
	var out map[string]agentapi.Usage
	for name := range s.usageByName {
		if u := s.takeUsage(name); u != (agentapi.Usage{}) {
			if out == nil {
				out = make(map[string]agentapi.Usage)
			}
			out[name] = u
		}
	}
	return out
}

type copyKey struct{ service, name string }

// maxCopyCountAge is how long counted copies are used. Loads take longer.
const maxCopyCountAge = 100 * time.Millisecond

// countCopies counts the copies of all models and adapters, unless the last count is
// recent. Counting them for each model would take time in proportion to the square of
// the number of upstreams.
func (p *Pool) countCopies(now time.Time) {
	if now.Sub(p.copyCountsAt) < maxCopyCountAge && p.copyCounts != nil {
		return
	}
	p.copyCounts, p.availableCounts, p.copyCountsAt = make(map[copyKey]int), make(map[copyKey]int), now
	for _, s := range p.states {
		h := s.holdings(now)
		if h == nil || !p.usable(s, now) {
			continue
		}
		for model, adapters := range h.Adapters {
			p.copyCounts[copyKey{s.upstream.Service, model}]++
			for _, a := range adapters {
				p.copyCounts[copyKey{s.upstream.Service, model + "/" + a}]++
			}
		}
		for model := range heldModels(h) {
			p.availableCounts[copyKey{s.upstream.Service, model}]++
		}
	}
}

// heldModels returns the models that are loaded, in memory or on disk.
func heldModels(h *fleet.Holdings) map[string]struct{} {
	out := make(map[string]struct{}, len(h.Adapters)+len(h.InMemory)+len(h.OnDisk))
	for model := range h.Adapters {
		out[model] = struct{}{}
	}
	for _, model := range h.InMemory {
		out[model] = struct{}{}
	}
	for _, model := range h.OnDisk {
		out[model] = struct{}{}
	}
	return out
}
