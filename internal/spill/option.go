package spill

import "time"

// Option is the best upstream on one side: in the own data centre, or in the others.
type Option struct {
	// Cost is the time by which upstreams are compared, without LinkDelay.
	Cost time.Duration
	// Load, Penalty and PromptTime are parts of Cost: the load that the request would wait
	// for, what past failures and pauses of streams add, and the time to read its prompt.
	Load, Penalty, PromptTime time.Duration
	// UncachedTokens are the prompt tokens that the upstream has to read.
	UncachedTokens int
	// Answer is the estimated time to the first token; 0 is unknown.
	Answer time.Duration
	// Occupancy is the used part of the upstream's places, counting the request; 0 is unknown.
	Occupancy float64
	// Queued is the number of requests that wait at the upstream.
	Queued int
}

// Bounds of the pressure of an upstream.
const (
	// From calmAnswer to pressedAnswer, as shares of the objective, saved time gains its full
	// worth. Engines take up to 2.5 times as long as estimated when other work slows them
	// down: at 0.4, that uses up the objective. With 0.3 and 0.6, more requests were late
	// than with a constant delay.
	calmAnswer, pressedAnswer = 0.2, 0.4
	// From calmOccupancy to pressedOccupancy, saved time gains its full worth. The upper
	// bound leaves one of six places for requests that the last report does not include.
	calmOccupancy, pressedOccupancy = 0.5, 0.85
)

// pressure tells how much the time counts that r would save by leaving the upstream: 0 if
// staying costs the caller nothing, 1 if it counts fully.
func (o *Option) pressure(r Request) float64 {
	if r.Objective <= 0 || o.Queued > 0 {
		return 1
	}
	return max(ramp(float64(o.Answer)/float64(r.Objective), calmAnswer, pressedAnswer), ramp(o.Occupancy, calmOccupancy, pressedOccupancy))
}

// ramp rises from 0 at from to 1 at to.
func ramp(v, from, to float64) float64 { return min(1, max(0, (v-from)/(to-from))) }

// cacheSaving returns the time for reading prompt tokens that are cached at there but not at
// here; it is negative in the opposite case.
func cacheSaving(here, there *Option) time.Duration {
	if here.UncachedTokens < there.UncachedTokens {
		return -cacheSaving(there, here)
	}
	if here.UncachedTokens == 0 {
		return 0
	}
	return time.Duration(float64(here.PromptTime) * (1 - float64(there.UncachedTokens)/float64(here.UncachedTokens)))
}
