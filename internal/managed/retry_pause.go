package managed

import (
	"math/rand/v2"
	"time"
)

// retryPause gives the pauses between the attempts of a loop. They double up to longest, which
// bounds the rate of calls to a store that is out and the time until its return is noticed.
type retryPause struct {
	shortest, longest time.Duration
	last              time.Duration
}

// next returns the pause after a further failure. The second half of it is random, so that
// instances that started together do not call together.
func (p *retryPause) next() time.Duration {
	p.last = min(p.longest, max(p.shortest, 2*p.last))
	return p.last/2 + rand.N(p.last/2+1)
}
