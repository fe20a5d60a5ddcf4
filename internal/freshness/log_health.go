package freshness

import (
	"sync"
	"time"
)

// slowReadAfter is how long a log read must be unanswered to count as slow, that
// is, as one that may still be answered. It equals the readers' retry interval.
const slowReadAfter = 500 * time.Millisecond

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

// LogHealth tracks the log reads of one instance and distinguishes a failing log
// from a slow one. A log that becomes slow does not answer reads for a while but
// still accepts appends, so an unanswered read is no failure before its deadline.
type LogHealth struct {
	tracker *Tracker
	mu      sync.Mutex
	pending map[int]MonoTime
	// newest is the highest number of a read that has ended; last is its outcome.
	newest int
	last   ReadOutcome
}

// NewLogHealth returns the state before the first read.
func NewLogHealth(t *Tracker) *LogHealth {
	return &LogHealth{tracker: t, pending: make(map[int]MonoTime)}
}

// ReadStarted records the start of read number n. Numbers start at 1 and increase.
func (h *LogHealth) ReadStarted(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[n] = h.tracker.Now()
}

// ReadEnded records the outcome of read number n. Failing ignores the outcome if
// a newer read has already ended.
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

// Failing reports whether the log fails for this instance. The newest read that has
// ended decides: if it timed out, the log fails. If it returned an error, the log
// fails unless a slow read is pending, because that read may still be answered.
func (h *LogHealth) Failing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last == TimedOut {
		return true
	}
	for _, startedAt := range h.pending {
		if startedAt.AgeAt(h.tracker.Now()) > slowReadAfter {
			return false
		}
	}
	return h.last == Failed
}
