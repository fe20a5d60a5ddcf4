package retrybudget

import "time"

// window has the times of a service's requests and repeats.
type window struct {
	requests, repeats times
}

type times []time.Time

func (t *times) add(now time.Time) { *t = append(*t, now) }

func (t *times) trim(now time.Time, span time.Duration) {
	i := 0
	for i < len(*t) && now.Sub((*t)[i]) > span {
		i++
	}
	if i > 0 {
		*t = append((*t)[:0], (*t)[i:]...)
	}
}
