package upstream

import (
	"math"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
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
	meanLifeMS := demandHalfLife.Seconds() / math.Ln2 * 1000
	return m.prefillMS * m.decayFactor(now) / meanLifeMS
}

// RecordRequest counts a caller's request for a model or adapter.
func (p *Pool) RecordRequest(q *Query) {
	if q.Model == "" {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	prefillMS := float64(q.TokensIn) / prefillTokensPerMS
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

// Demand returns this instance's demand for the models and adapters that an
// upstream holds, for its agent, and resets the Sent counts.
func (p *Pool) Demand(upstreamID string) []agentapi.Demand {
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
	var out []agentapi.Demand
	add := func(name, model, adapter string) {
		d := agentapi.Demand{Name: name, Copies: p.copies(s.upstream.Service, model, adapter, now)}
		if u, ok := s.usageByName[name]; ok {
			d.Sent, d.InFlight = u.sent, u.inFlight
			u.sent = 0
		}
		if m, ok := p.demands[name]; ok {
			d.Requested = m.requestsAt(now)
		}
		if d.Sent > 0 || d.InFlight > 0 || d.Requested > minReportedDemand {
			out = append(out, d)
		}
	}
	for model, adapters := range h.Adapters {
		add(model, model, "")
		for _, a := range adapters {
			add(model+"/"+a, model, a)
		}
	}
	return out
}

// copies counts the usable upstreams of a service that have the model and
// adapter loaded.
func (p *Pool) copies(service, model, adapter string, now time.Time) int {
	n := 0
	for _, s := range p.states {
		if s.upstream.Service == service && p.usable(s, now) && s.holdings(now).HasAdapter(model, adapter) {
			n++
		}
	}
	return n
}
