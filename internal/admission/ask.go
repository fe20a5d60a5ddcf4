package admission

import (
	"math"
	"math/bits"
	"time"
)

// Ask is what a decision depends on of the request that asks for tokens.
type Ask struct {
	// Tokens is the size of the whole request, of which other instances may have lent a part.
	Tokens float64
	// Urgency is the priority of the request; 0 is the most urgent.
	Urgency int
	// Digest identifies the request when its caller returns; 0 is unknown, and books nothing.
	Digest uint64
	// Longest is the longest time after which the tokens serve the caller within its objective.
	Longest time.Duration
	// Returns is the longest time after which the caller comes back if it is refused. Nothing is booked
	// if both are 0.
	Returns time.Duration
}

const (
	// maxClass is the class of the largest requests, of maxTokens or more.
	maxClass  = 30
	maxTokens = 1 << maxClass
	// maxUrgency is the least urgent priority that is told apart, as for engines.
	maxUrgency = 9
)

// class returns the size class of the request: 0 up to one token, then one for each doubling.
func (a Ask) class() int {
	if a.Tokens <= 1 {
		return 0
	}
	return min(maxClass, bits.Len64(uint64(math.Ceil(min(a.Tokens, maxTokens)))-1))
}

func (a Ask) urgency() int { return min(max(a.Urgency, 0), maxUrgency) }
