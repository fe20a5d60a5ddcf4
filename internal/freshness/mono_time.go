package freshness

import (
	"math"
	"time"
)

// MonoTime is a point in time on an instance's own monotonic clock, as the time
// since its Tracker was created. Values of different instances cannot be
// compared, so instances only send each other ages.
type MonoTime time.Duration

// never is earlier than any time that the clock can show.
const never = MonoTime(math.MinInt64 / 4)

// UnknownAge is the age of an event that has not happened.
const UnknownAge = time.Duration(math.MaxInt64 / 4)

// AgeAt returns the time from m to now, at most UnknownAge.
func (m MonoTime) AgeAt(now MonoTime) time.Duration {
	return min(UnknownAge, time.Duration(now-m))
}

// Minus returns the time that is d before m, or never if d is UnknownAge.
func (m MonoTime) Minus(d time.Duration) MonoTime {
	if d >= UnknownAge {
		return never
	}
	return m - MonoTime(d)
}
