package freshness

import (
	"sync"
	"time"
)

// settleTime is how long a log read may stay unanswered before it counts as
// one that may yet be answered. It is the readers' retry interval.
const settleTime = 500 * time.Millisecond

// ReadOutcome tells how a log read ended.
type ReadOutcome int

// Outcomes of a log read.
const (
	// Answered: records, an empty page, or an answer that records have expired.
	Answered ReadOutcome = iota
	// Failed: an error before the deadline.
	Failed
	// TimedOut: no answer within the deadline.
	TimedOut
)

// LogHealth follows the log reads of one instance and tells a log that fails
// from one that is slow. When a log turns slow it is silent until the first
// answer and takes appends all the same, so silence is no failure before the
// deadline of the read.
type LogHealth struct {
	tracker *Tracker
	mu      sync.Mutex
	pending map[int]MonoTime
	// newest is the number of the newest read that has ended, last its outcome.
	newest int
	last   ReadOutcome
}

// NewLogHealth returns the health before the first read.
func NewLogHealth(t *Tracker) *LogHealth {
	return &LogHealth{tracker: t, pending: make(map[int]MonoTime)}
}

// ReadStarted records the start of read number n; numbers start at 1 and rise.
func (h *LogHealth) ReadStarted(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[n] = h.tracker.Now()
}

// ReadEnded records the outcome of read number n. The outcome of an older read
// says nothing once a newer one has ended.
func (h *LogHealth) ReadEnded(n int, o ReadOutcome) {
	if o == Answered {
		h.tracker.RecordLogAnswer()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, n)
	if n > h.newest {
		h.newest, h.last = n, o
	}
}

// Failing reports whether the log fails for this instance: the newest read that
// ended has failed, and no read since then may yet be answered. After a read
// has timed out, silence counts as failure.
func (h *LogHealth) Failing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last == TimedOut {
		return true
	}
	for _, asked := range h.pending {
		if asked.AgeAt(h.tracker.Now()) > settleTime {
			return false
		}
	}
	return h.last == Failed
}
