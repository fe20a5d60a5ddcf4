package upstream

import "time"

// coldWindowLength is the sliding window in which requests to a cold upstream
// are counted. The platform counts per second; the extra 100 ms cover
// differences in network delay.
const coldWindowLength = 1100 * time.Millisecond

// coldWindow counts the recent requests of this instance to one upstream. It
// counts requests to warm upstreams too, so that the count is already right
// when an upstream turns cold.
type coldWindow struct {
	sent []time.Time
}

func (w *coldWindow) add(now time.Time) {
	w.trim(now)
	w.sent = append(w.sent, now)
}

func (w *coldWindow) trim(now time.Time) {
	i := 0
	for i < len(w.sent) && now.Sub(w.sent[i]) >= coldWindowLength {
		i++
	}
	w.sent = append(w.sent[:0], w.sent[i:]...)
}

// wait returns how long until another request fits within limit requests per
// window.
func (w *coldWindow) wait(now time.Time, limit int) time.Duration {
	w.trim(now)
	if len(w.sent) < limit {
		return 0
	}
	if limit <= 0 {
		return coldWindowLength
	}
	return coldWindowLength - now.Sub(w.sent[len(w.sent)-limit])
}
