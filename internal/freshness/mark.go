package freshness

import (
	"math"
	"time"
)

// MonoTime is a point on an instance's own monotonic clock, as the time since its
// Tracker was made. Marks of different instances cannot be compared; only
// ages travel between processes.
type MonoTime time.Duration

// never is before every mark that a clock can reach.
const never = MonoTime(math.MinInt64 / 4)

// UnknownAge is the age of something that has not happened.
const UnknownAge = time.Duration(math.MaxInt64 / 4)

// AgeAt returns the age of m at now, at most Unknown.
func (m MonoTime) AgeAt(now MonoTime) time.Duration {
	return min(UnknownAge, time.Duration(now-m))
}

// Minus returns the mark that is d before m. An Unknown age gives never.
func (m MonoTime) Minus(d time.Duration) MonoTime {
	if d >= UnknownAge {
		return never
	}
	return m - MonoTime(d)
}
