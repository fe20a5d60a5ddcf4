package duty

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Stats are the metrics of duties.
type Stats struct {
	set *metrics.Set
	// token is the fencing token of this instance while it has the duty, 0 otherwise.
	token      atomic.Int64
	lastWindow atomic.Int64
	claims     *metrics.Counter
	missed     *metrics.Counter
	late       *metrics.Counter
	incomplete *metrics.Counter
	lateness   *metrics.Histogram
}

// NewStats registers the metrics in set.
func NewStats(set *metrics.Set) *Stats {
	s := &Stats{
		set:        set,
		claims:     set.NewCounter("jacinthbend_duty_claims_total"),
		missed:     set.NewCounter("jacinthbend_usage_missed_windows_total"),
		late:       set.NewCounter("jacinthbend_usage_late_windows_total"),
		incomplete: set.NewCounter("jacinthbend_usage_incomplete_windows_total"),
		lateness:   set.NewHistogram("jacinthbend_usage_report_delay_seconds"),
	}
	set.NewGauge("jacinthbend_duty_token", func() float64 { return float64(s.token.Load()) })
	set.NewGauge("jacinthbend_usage_last_window", func() float64 { return float64(s.lastWindow.Load()) })
	return s
}

// Results of calls to the platform and to the log, for metrics.
const (
	resultOK      = "ok"
	resultLimited = "limited"
	resultFailed  = "failed"
	resultMoved   = "end_moved"
)

func (s *Stats) countCall(call, result string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("jacinthbend_duty_calls_total{call=%q,result=%q}", call, result)).Inc()
}

func (s *Stats) countLogCall(call, result string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("jacinthbend_duty_log_calls_total{call=%q,result=%q}", call, result)).Inc()
}
