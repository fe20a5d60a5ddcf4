package budget

import (
	"math"
	"time"
)

// bucket is the token bucket of one share. golang.org/x/time/rate does not fit:
// it counts whole tokens, cannot take tokens back, and sets its clock back when a
// caller that was paused passes an earlier time, which issues tokens twice.
type bucket struct {
	level float64
	last  time.Time
	rate  float64
	size  float64
}

// newBucket returns an empty bucket that starts to fill at start.
func newBucket(start time.Time) bucket { return bucket{last: start} }

// configure sets the rate in tokens per second and the size in tokens. Tokens
// above the new size are dropped.
func (b *bucket) configure(rate, size float64) {
	b.rate = rate
	b.size = size
	b.level = math.Min(b.level, size)
}

// advance adds the tokens accrued since the last call. It does nothing if now is
// before the time of that call.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.level = math.Min(b.size, b.level+b.rate*elapsed.Seconds())
	b.last = now
}

// take removes and returns between atLeast and want tokens, or 0 if the bucket
// holds fewer than atLeast. It gives more than atLeast only while the bucket
// stays half full: the extra tokens save the holder a message, but may expire
// unused there while another holder needs them. If atLeast is 0, take gives what
// the bucket holds, up to want.
func (b *bucket) take(want, atLeast float64) float64 {
	if b.level < atLeast || b.level <= 0 {
		return 0
	}
	got := math.Min(want, math.Max(atLeast, b.level-b.size/2))
	if atLeast == 0 {
		got = math.Min(want, b.level)
	}
	b.level -= got
	return got
}

// putBack returns unspent tokens to the bucket. The level does not exceed what it
// would be if the tokens had not been issued.
func (b *bucket) putBack(tokens float64) {
	b.level = math.Min(b.size, b.level+tokens)
}
