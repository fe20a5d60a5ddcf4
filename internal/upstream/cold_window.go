package upstream

import "time"

// coldSpan is the sliding window in which a cold upstream's requests are
// counted. The platform counts a second; the rest covers differences in delay.
const coldSpan = 1100 * time.Millisecond

// coldWindow counts this instance's recent requests to one upstream. All sends
// are counted, so that an upstream that turns cold has its past second known.
type coldWindow struct {
	sent []time.Time
}

func (w *coldWindow) add(now time.Time) {
	w.trim(now)
	w.sent = append(w.sent, now)
}

func (w *coldWindow) trim(now time.Time) {
	i := 0
	for i < len(w.sent) && now.Sub(w.sent[i]) >= coldSpan {
		i++
	}
	w.sent = append(w.sent[:0], w.sent[i:]...)
}

// wait returns how long until another request fits below share.
func (w *coldWindow) wait(now time.Time, share int) time.Duration {
	w.trim(now)
	if len(w.sent) < share {
		return 0
	}
	if share <= 0 {
		return coldSpan
	}
	return coldSpan - now.Sub(w.sent[len(w.sent)-share])
}
