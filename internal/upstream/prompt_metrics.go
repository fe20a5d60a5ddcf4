package upstream

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// promptMetrics count the tokens of the prompts that were sent to engines, by why they are
// taken as cached.
type promptMetrics struct{ sentHere, reported, uncached *metrics.Counter }

func newPromptMetrics(set *metrics.Set) promptMetrics {
	counter := func(cached string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("jacinthbend_prompt_tokens_total{cached=%q}", cached))
	}
	return promptMetrics{sentHere: counter("sent_here"), reported: counter("reported"), uncached: counter("no")}
}

// countPrompt counts the tokens of an attempt, before its prompt is remembered.
func (p *Pool) countPrompt(s *state, q *Query, h promptHashes, now time.Time) {
	own := s.prefixes.cachedTokens(promptHashes{prefixes: h.prefixes}, q.Prompt, nil, now)
	cached := s.prefixes.cachedTokens(h, q.Prompt, p.cachedParts(s, now), now.Add(-p.reportLag))
	p.prompts.sentHere.Add(min(own, cached))
	p.prompts.reported.Add(max(0, cached-own))
	p.prompts.uncached.Add(max(0, q.TokensIn-cached))
}

// reportedEngines returns how many engines report what they have cached, and how many parts.
func (p *Pool) reportedEngines() (engines, parts int) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.states {
		if r := p.cachedParts(s, now); r != nil {
			engines++
			parts += r.Len()
		}
	}
	return engines, parts
}
