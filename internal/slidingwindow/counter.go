// Package slidingwindow counts events in a window that ends now.
package slidingwindow

import "time"

// Counter counts the events within the last Length.
type Counter struct {
	Length time.Duration
	times  []time.Time
}

// Add counts an event at now.
func (c *Counter) Add(now time.Time) {
	c.trim(now)
	c.times = append(c.times, now)
}

func (c *Counter) trim(now time.Time) {
	i := 0
	for i < len(c.times) && now.Sub(c.times[i]) >= c.Length {
		i++
	}
	c.times = append(c.times[:0], c.times[i:]...)
}

// Wait returns how long until another event fits within limit events per window.
func (c *Counter) Wait(now time.Time, limit int) time.Duration {
	c.trim(now)
	if len(c.times) < limit {
		return 0
	}
	if limit <= 0 {
		return c.Length
	}
	return c.Length - now.Sub(c.times[len(c.times)-limit])
}
