package upstream

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthbend/jacinthbend/internal/spill"
)

// crossing counts the attempts that leave the data centre for one reason.
type crossing struct {
	requests, bytes *metrics.Counter
}

// crossings counts the attempts that leave the data centre, by reason.
type crossings struct {
	byReason map[spill.Reason]*crossing
}

func newCrossings(set *metrics.Set) *crossings {
	c := &crossings{byReason: make(map[spill.Reason]*crossing)}
	for _, reason := range spill.Reasons() {
		c.byReason[reason] = &crossing{
			requests: set.NewCounter(fmt.Sprintf("jacinthbend_cross_data_centre_requests_total{reason=%q}", string(reason))),
			bytes:    set.NewCounter(fmt.Sprintf("jacinthbend_cross_data_centre_bytes_total{reason=%q}", string(reason))),
		}
	}
	return c
}

// RegisterMetrics adds the metrics of the pool to set. It must be called before the first
// attempt.
func (p *Pool) RegisterMetrics(set *metrics.Set) {
	p.crossings, p.prompts = newCrossings(set), newPromptMetrics(set)
	set.NewGauge("jacinthbend_prompt_cache_reports", func() float64 {
		engines, _ := p.reportedEngines()
		return float64(engines)
	})
	set.NewGauge("jacinthbend_prompt_parts", func() float64 {
		_, parts := p.reportedEngines()
		return float64(parts)
	})
}

// beginCrossing counts an attempt if it leaves the data centre. Else it returns nil.
func (p *Pool) beginCrossing(s *state, c *Choice, q *Query) *crossing {
	if s.upstream.DataCentre == p.dataCentre {
		return nil
	}
	counts, ok := p.crossings.byReason[c.Leaves]
	if !ok {
		counts = p.crossings.byReason[spill.Other]
	}
	counts.requests.Inc()
	counts.addBytes(q.Bytes)
	return counts
}

// addBytes counts bytes of the bodies of the attempt's request and response.
func (c *crossing) addBytes(n int) {
	if c != nil {
		c.bytes.Add(n)
	}
}
