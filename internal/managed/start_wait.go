package managed

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// waitReason is what a starting instance waits for.
type waitReason string

// All that an instance waits for before it is ready, in this order. Only a configuration and an
// upstream may never come: without them no request can be served.
const (
	waitConfig       waitReason = "configuration"
	waitUpstream     waitReason = "upstream"
	waitLostRecords  waitReason = "lost_records"
	waitCrashReports waitReason = "crash_reports"
	waitQuotaUsage   waitReason = "quota_usage"
	waitNothing      waitReason = ""
)

// startWaitLogInterval is how often the log repeats what a start waits for.
const startWaitLogInterval = 5 * time.Second

// startWait tells operators what a starting instance waits for: in the log, in the answer of the
// readiness check and as a metric. It is safe for concurrent use.
type startWait struct {
	logger *zap.Logger
	began  time.Time

	mu       sync.Mutex
	reason   waitReason
	loggedAt time.Time
}

func newStartWait(set *metrics.Set, logger *zap.Logger) *startWait {
	w := &startWait{logger: logger, began: time.Now()}
	for _, reason := range []waitReason{waitConfig, waitUpstream, waitLostRecords, waitCrashReports, waitQuotaUsage} {
		set.NewGauge(fmt.Sprintf("jacinthbend_start_waits{for=%q}", string(reason)), func() float64 {
			if w.current() == reason {
				return 1
			}
			return 0
		})
	}
	return w
}

// set records what the start waits for now.
func (w *startWait) set(reason waitReason) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	same := reason == w.reason
	w.reason = reason
	if reason == waitNothing || same && now.Sub(w.loggedAt) < startWaitLogInterval {
		return
	}
	w.loggedAt = now
	w.logger.Info("start waits", zap.String("for", string(reason)), zap.Duration("since_start", now.Sub(w.began)))
}

func (w *startWait) current() waitReason {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reason
}
