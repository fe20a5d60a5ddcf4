package fleetsim

import (
	"math"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// meter is a token bucket that sees every request at once. It is written apart
// from the code under test and serves as reference and as baseline.
type meter struct {
	rate, burst, level float64
	last               time.Duration
}

func newMeter(t config.Team, part float64) *meter {
	return &meter{rate: t.RateTokensPerS * part, burst: t.BurstTokens * part, level: t.BurstTokens * part}
}

func (m *meter) admit(at time.Duration, tokens float64) bool {
	m.level = math.Min(m.burst, m.level+m.rate*(at-m.last).Seconds())
	m.last = at
	if m.level < tokens {
		return false
	}
	m.level -= tokens
	return true
}

// Refusals compares a run with the ideal and with a fixed equal split.
type Refusals struct {
	// WithinBudget is the number of requests within the team's rate and burst: those
	// that one bucket for the whole fleet would admit.
	WithinBudget int
	// Wrong is how many of them the fleet refused.
	Wrong int
	// WrongSplit is how many of them a bucket per node with an equal part of
	// rate and burst would refuse.
	WrongSplit int
	// Offered, Admitted and AdmittedIdeal count all requests, in tokens.
	Offered, Admitted, AdmittedIdeal float64
}

// Compare judges the refusals of a run.
func Compare(s *Scenario, outcomes []Outcome) Refusals {
	ideal := make(map[string]*meter)
	split := make(map[string][]*meter)
	for id, team := range s.Teams {
		ideal[id] = newMeter(team, 1)
		for range s.Nodes {
			split[id] = append(split[id], newMeter(team, 1/float64(s.Nodes)))
		}
	}
	var r Refusals
	for _, o := range outcomes {
		if o.Lost {
			continue
		}
		splitAdmits := split[o.Team][o.Node%s.Nodes].admit(o.At, o.Tokens)
		r.Offered += o.Tokens
		if o.Refused == nil {
			r.Admitted += o.Tokens
		}
		if !ideal[o.Team].admit(o.At, o.Tokens) {
			continue
		}
		r.AdmittedIdeal += o.Tokens
		r.WithinBudget++
		if o.Refused != nil {
			r.Wrong++
		}
		if !splitAdmits {
			r.WrongSplit++
		}
	}
	return r
}

// Add returns the sum of two comparisons.
func (r Refusals) Add(o Refusals) Refusals {
	r.WithinBudget += o.WithinBudget
	r.Wrong += o.Wrong
	r.WrongSplit += o.WrongSplit
	r.Offered += o.Offered
	r.Admitted += o.Admitted
	r.AdmittedIdeal += o.AdmittedIdeal
	return r
}
