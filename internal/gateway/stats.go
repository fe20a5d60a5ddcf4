package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
)

// Stats holds the counters and histograms of a gateway.
type Stats struct {
	set                 *metrics.Set
	requests, firstByte *metrics.Histogram
	// eventPause has the intervals between the events of upstreams, estimateRatio the time
	// to the first event of an attempt divided by its estimate.
	eventPause, estimateRatio *metrics.Histogram
	quarantined               *metrics.Counter
	// refusedAgain counts requests that were refused for their team's rate, although their
	// caller had been refused before.
	refusedAgain *metrics.Counter
}

// NewStats registers the metrics in set.
func NewStats(set *metrics.Set) *Stats {
	return &Stats{
		set:           set,
		requests:      set.NewHistogram("jacinthbend_gateway_request_seconds"),
		firstByte:     set.NewHistogram("jacinthbend_gateway_first_byte_seconds"),
		eventPause:    set.NewHistogram("jacinthbend_event_pause_seconds"),
		estimateRatio: set.NewHistogram("jacinthbend_estimate_ratio"),
		quarantined:   set.NewCounter("jacinthbend_gateway_quarantined_total"),
		refusedAgain:  set.NewCounter("jacinthbend_refused_again_total"),
	}
}

func (s *Stats) countResponse(status int, kind string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("jacinthbend_gateway_answers_total{status=\"%d\",kind=%q}", status, kind)).Inc()
}

func (s *Stats) countCallerResume(origin string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("jacinthbend_gateway_caller_resumes_total{origin=%q}", origin)).Inc()
}

func (s *Stats) countAttempt(outcome string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("jacinthbend_gateway_attempts_total{outcome=%q}", outcome)).Inc()
}

// watchWaiting registers the number of requests that wait in q.
func (s *Stats) watchWaiting(q *quotaQueue) {
	s.set.NewGauge("jacinthbend_admission_waiting", func() float64 { return float64(q.len()) })
}

// countBufferWait counts a response that waited for memory.
func (s *Stats) countBufferWait(result string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("jacinthbend_response_memory_waits_total{result=%q}", result)).Inc()
}

// watchBuffers registers the bytes that responses hold of b and the number of those that wait.
func (s *Stats) watchBuffers(b *clientbudget.Share) {
	s.set.NewGauge("jacinthbend_response_memory_bytes", func() float64 { return float64(b.Used()) })
	s.set.NewGauge("jacinthbend_response_memory_waiting", func() float64 { return float64(b.Waiting()) })
}
