package admission

import "time"

// refusalMemory is for how long after a refusal less urgent requests get nothing but what is free beside
// the demand of the more urgent ones. In a burst, a holder refuses several requests of a kind in this time. With
// 2 s and more, tokens stayed unused in the replays of bursts; with less, they went to the least urgent route.
const refusalMemory = 1500 * time.Millisecond

// Refusals remembers the last request of each urgency and size class that was refused because
// nothing was free in time. The zero value remembers none.
type Refusals struct {
	last map[refusalKind]time.Duration
}

type refusalKind struct{ urgency, class int }

// Add remembers a refusal at the time now since the epoch.
func (r *Refusals) Add(a Ask, now time.Duration) {
	if r.last == nil {
		r.last = make(map[refusalKind]time.Duration)
	}
	r.last[refusalKind{a.urgency(), a.class()}] = now
}

// Before reports whether a request that is more urgent than a and not much larger was refused
// lately. Tokens that become free are for such requests then: a less urgent one, which may
// often wait for longer, would otherwise be served more often.
func (r *Refusals) Before(a Ask, now time.Duration) bool {
	for kind, at := range r.last {
		if now-at <= refusalMemory && kind.urgency < a.urgency() && kind.class <= a.class()+1 {
			return true
		}
	}
	return false
}
