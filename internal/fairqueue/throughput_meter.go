package fairqueue

import "time"

const (
	// minInterval is the minimum busy time per measurement.
	minInterval = 500 * time.Millisecond
	// smoothing is the weight of the newest measurement in the moving average.
	smoothing = 0.3
)

// throughputMeter measures the service rate in tokens per second. It counts only
// the time in which requests wait, because with an empty queue the rate depends
// on the load rather than on the upstreams.
type throughputMeter struct {
	tokensPerS float64
	tokens     float64
	since      time.Time
	busy       bool
}

// start begins a busy period, in which requests wait.
func (m *throughputMeter) start(now time.Time) {
	if m.busy {
		return
	}
	m.busy = true
	m.since = now
	m.tokens = 0
}

// stop ends a busy period.
func (m *throughputMeter) stop(now time.Time) {
	m.update(now)
	m.busy = false
}

// recordDispatch counts the tokens of a dispatched request.
func (m *throughputMeter) recordDispatch(now time.Time, tokens float64) {
	if !m.busy {
		return
	}
	m.tokens += tokens
	m.update(now)
}

func (m *throughputMeter) update(now time.Time) {
	span := now.Sub(m.since)
	if !m.busy || span < minInterval {
		return
	}
	tokensPerS := m.tokens / span.Seconds()
	if m.tokensPerS > 0 {
		tokensPerS = m.tokensPerS + smoothing*(tokensPerS-m.tokensPerS)
	}
	m.tokensPerS = tokensPerS
	m.since = now
	m.tokens = 0
}
