package upstream

import (
	"math"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
)

// askedHalfLife is how fast the count of requests for a model fades. Demand
// moves from one model to another within seconds.
const askedHalfLife = 8 * time.Second

// hardlyAsked is a demand that an agent need not hear of.
const hardlyAsked = 0.02

// askedFor is a decayed count of requests for a model or adapter.
type askedFor struct {
	count float64
	// prefill is the time in ms that an engine needs for their prompts.
	prefill float64
	at      time.Time
	// copyAskedAt is when another copy was last asked for.
	copyAskedAt time.Time
}

func (a *askedFor) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(a.at).Seconds() / askedHalfLife.Seconds())
}

func (a *askedFor) value(now time.Time) float64 { return a.count * a.decay(now) }

func (a *askedFor) add(prefill float64, now time.Time) {
	d := a.decay(now)
	a.count, a.prefill, a.at = a.count*d+1, a.prefill*d+prefill, now
}

// busy is the share of one engine's time that the prompts take.
func (a *askedFor) busy(now time.Time) float64 {
	mean := askedHalfLife.Seconds() / math.Ln2 * 1000
	return a.prefill * a.decay(now) / mean
}

// Asked counts a caller's request for a model or adapter.
func (p *Pool) Asked(q *Query) {
	if q.Model == "" {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	prefill := float64(q.TokensIn) / prefillTokensPerMS
	p.askedOf(q.Model).add(prefill, now)
	if q.Adapter != "" {
		p.askedOf(q.Name()).add(prefill, now)
	}
}

func (p *Pool) askedOf(name string) *askedFor {
	a, ok := p.asked[name]
	if !ok {
		a = &askedFor{at: time.Now()}
		p.asked[name] = a
	}
	return a
}

// Demand returns what this instance sees of what an upstream holds, and resets
// its recent counts.
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
		d := agentapi.Demand{Name: name, Copies: p.copies(s.up.Service, model, adapter, now)}
		if u, ok := s.byName[name]; ok {
			d.Sent, d.InFlight = u.recent, u.inFlight
			u.recent = 0
		}
		if a, ok := p.asked[name]; ok {
			d.Requested = a.value(now)
		}
		if d.Sent > 0 || d.InFlight > 0 || d.Requested > hardlyAsked {
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

// copies counts the usable upstreams of a service that hold a model.
func (p *Pool) copies(service, model, adapter string, now time.Time) int {
	n := 0
	for _, s := range p.states {
		if s.up.Service == service && p.usable(s, now) && s.holdings(now).HasAdapter(model, adapter) {
			n++
		}
	}
	return n
}
