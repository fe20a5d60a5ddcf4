package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// stats holds the metrics of callers' requests.
type stats struct {
	set        *metrics.Set
	served     *metrics.Counter
	tokens     *metrics.Counter
	seconds    *metrics.Histogram
	firstToken *metrics.Histogram
}

func newStats(set *metrics.Set) stats {
	return stats{
		set:        set,
		served:     set.NewCounter("jacinthbend_entry_requests_served_total"),
		tokens:     set.NewCounter("jacinthbend_entry_tokens_total"),
		seconds:    set.NewHistogram("jacinthbend_entry_request_duration_seconds"),
		firstToken: set.NewHistogram("jacinthbend_entry_first_token_seconds"),
	}
}

func (s *stats) countFailure(kind errkind.Kind) {
	s.set.GetOrCreateCounter(fmt.Sprintf("jacinthbend_entry_refusals_total{kind=%q}", kind)).Inc()
}

func (s *stats) countServed(start time.Time, tokens int) {
	s.served.Inc()
	s.tokens.Add(tokens)
	s.seconds.UpdateDuration(start)
}
