package admission

import "time"

// refusalMemory is for how long after a refusal less urgent requests get nothing but what is free beside
// the demand of the more urgent ones. In a burst, a holder refuses several requests of a kind in this time. With
// 2 s and more, tokens stayed unused in the replays of bursts; with less, they went to the least urgent route.
const refusalMemory = 1500 * time.Millisecond

// Refusals remembers the requests of each urgency and size class that were refused because nothing was free
// in time. The zero value remembers none.
type Refusals struct {
	kinds map[refusalKind]refused
}

type refusalKind struct{ urgency, class int }

// refused are the last refusal of a kind, and the tokens of those that followed each other within
// refusalMemory.
type refused struct {
	at     time.Duration
	tokens float64
}

// Add remembers a refusal at the time now since the epoch.
func (r *Refusals) Add(a Ask, now time.Duration) {
	if r.kinds == nil {
		r.kinds = make(map[refusalKind]refused)
	}
	kind := refusalKind{a.urgency(), a.class()}
	last := r.kinds[kind]
	if now-last.at > refusalMemory {
		last.tokens = 0
	}
	r.kinds[kind] = refused{now, last.tokens + a.Tokens}
}

// Before returns the tokens of requests that are more urgent than a and not much larger, and were refused
// lately. Tokens that become free are for such requests then: a less urgent one, which may
// often wait for longer, would otherwise be served more often.
func (r *Refusals) Before(a Ask, now time.Duration) float64 {
	sum := 0.0
	for kind, last := range r.kinds {
		if now-last.at <= refusalMemory && kind.urgency < a.urgency() && kind.class <= a.class()+1 {
			sum += last.tokens
		}
	}
	return sum
}

// MayYield reports whether a request can be served within its objective after it has left what is free to more
// urgent ones. Of others, those between the most urgent and the least urgent route would be served least: they
// yield to the first, and the last come back later.
func (a Ask) MayYield() bool { return a.Longest > refusalMemory }
