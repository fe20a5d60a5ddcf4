package tokenquota

import (
	"math"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/witness"
)

// witnessLease tells for how long an instance has to stay within what its witnesses know. The
// times are on clock.
type witnessLease struct {
	clock witness.Clock
	// until is the end of the lease: until then no more than one step may be spent beyond the newest
	// confirmed record. 0 means that there is no lease.
	until time.Duration
	// holdUntil is until when nothing of the shares may be given out, since the next start may find a
	// record of an earlier start and none of this one. 0 means that there is no hold.
	holdUntil time.Duration
	// endsOnConfirm tells that the hold ends with the first confirmed record of this start.
	endsOnConfirm bool
}

// noEnd is the end of a hold that lasts until the process ends.
const noEnd = time.Duration(math.MaxInt64)

func (w *witnessLease) held() bool { return w.holdUntil > 0 && w.clock() < w.holdUntil }

func (w *witnessLease) current() bool { return w.until > 0 && w.clock() <= w.until }

// left returns how long the hold or the lease lasts.
func (w *witnessLease) left() time.Duration {
	switch {
	case w.holdUntil == noEnd:
		return noEnd
	case w.held():
		return w.holdUntil - w.clock()
	case w.current():
		return w.until - w.clock()
	}
	return 0
}
