package retrybudget

import "time"

// window holds the times of a service's requests and retries within the last
// Bounds.Window, oldest first.
type window struct {
	requests, retries timestamps
}

type timestamps []time.Time

func (t *timestamps) add(now time.Time) { *t = append(*t, now) }

func (t *timestamps) removeOlder(now time.Time, age time.Duration) {
	i := 0
	for i < len(*t) && now.Sub((*t)[i]) > age {
		i++
	}
	if i > 0 {
		*t = append((*t)[:0], (*t)[i:]...)
	}
}
