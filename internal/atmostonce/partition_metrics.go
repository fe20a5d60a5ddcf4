package atmostonce

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// partitionMetrics are the metrics of one partition writer.
type partitionMetrics struct {
	// appends counts appends to the log: it shows how much of the platform's append
	// limit the partition uses. entries counts the entries in them: divided by
	// appends it is the mean batch size.
	appends atomic.Uint64
	entries atomic.Uint64
	// retries counts failed tries to commit a batch: the append, the read of the
	// stream after it, or the load of the state returned an error.
	retries atomic.Uint64
	// refused counts requests answered with log_unavailable.
	refused atomic.Uint64
	// calls is the number of calls in the state; each takes about 0.8 KB plus its result.
	calls atomic.Int64
	// recordsLost is 1 while old keys are answered with outcome_unknown because
	// records expired from the log before a snapshot covered them.
	recordsLost atomic.Int64
}

// observe updates the gauges from the state after a batch; s is nil if no state is loaded.
func (m *partitionMetrics) observe(s *PartitionState) {
	if s == nil {
		m.calls.Store(0)
		return
	}
	m.calls.Store(int64(s.Len()))
	m.recordsLost.Store(0)
	if s.lostUntilMS > 0 {
		m.recordsLost.Store(1)
	}
}

// Register adds the writer's metrics to set, one of each per partition.
func (w *Writer) Register(set *metrics.Set) {
	for i, p := range w.partitions {
		label := fmt.Sprintf(`{partition="%d"}`, i)
		p.register(set, label)
	}
}

func (p *partitionWriter) register(set *metrics.Set, label string) {
	counters := map[string]*atomic.Uint64{
		"jacinthbend_once_appends_total": &p.metrics.appends,
		"jacinthbend_once_entries_total": &p.metrics.entries,
		"jacinthbend_once_retries_total": &p.metrics.retries,
		"jacinthbend_once_refused_total": &p.metrics.refused,
	}
	for name, c := range counters {
		set.NewGauge(name+label, func() float64 { return float64(c.Load()) })
	}
	set.NewGauge("jacinthbend_once_identities"+label, func() float64 { return float64(p.metrics.calls.Load()) })
	set.NewGauge("jacinthbend_once_blind"+label, func() float64 { return float64(p.metrics.recordsLost.Load()) })
	set.NewGauge("jacinthbend_once_queue"+label, func() float64 { return float64(len(p.queue)) })
}
