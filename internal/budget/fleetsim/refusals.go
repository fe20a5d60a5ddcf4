package fleetsim

import (
	"math"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// referenceBucket is a plain token bucket that shares no code with package budget.
// One bucket for all requests of a team gives the ideal decisions, and one per node
// those of a fixed equal split.
type referenceBucket struct {
	rate, burst, level float64
	last               time.Duration
}

func newReferenceBucket(t config.Team, fraction float64) *referenceBucket {
	return &referenceBucket{rate: t.RateTokensPerS * fraction, burst: t.BurstTokens * fraction, level: t.BurstTokens * fraction}
}

func (b *referenceBucket) admit(at time.Duration, tokens float64) bool {
	b.level = math.Min(b.burst, b.level+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// Refusals compares the refusals of a run with those of one token bucket for the
// whole fleet (the ideal), and with those of a fixed equal split between nodes.
type Refusals struct {
	// WithinBudget is the number of requests that the ideal admits.
	WithinBudget int
	// Wrong is how many of these the fleet refused.
	Wrong int
	// WrongSplit is how many of these would be refused by a bucket per node with
	// an equal part of rate and burst.
	WrongSplit int
	// Offered, Admitted and AdmittedIdeal are the tokens of all requests, of
	// those that the fleet admitted, and of those that the ideal admits.
	Offered, Admitted, AdmittedIdeal float64
}

// Compare counts the refusals of a run. It leaves out requests that were lost.
func Compare(s *Scenario, outcomes []Outcome) Refusals {
	ideal := make(map[string]*referenceBucket)
	split := make(map[string][]*referenceBucket)
	for id, team := range s.Teams {
		ideal[id] = newReferenceBucket(team, 1)
		for range s.Nodes {
			split[id] = append(split[id], newReferenceBucket(team, 1/float64(s.Nodes)))
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
