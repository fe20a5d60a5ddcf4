package once

import "time"

// Options are the settings of writers and clients. A zero field takes its default.
type Options struct {
	// Partitions is the number of streams; it must be the same fleet-wide. Default 4.
	Partitions int
	// Window is how long a writer collects entries before an append. Default 20 ms.
	Window time.Duration
	// BatchEntries and BatchBytes bound one append. Default 256 entries, 512 KiB.
	BatchEntries int
	BatchBytes   int
	// QueueEntries bounds the entries waiting at one partition. Default 4096.
	QueueEntries int
	// AppendsPerS is the rate of appends per partition, in records a second over
	// a burst of one second. Default 20: four partitions stay under the 100
	// appends a second that the platform grants the whole system.
	AppendsPerS float64
	// LogTimeout bounds one call of the log. Default 2 s.
	LogTimeout time.Duration
	// IdempotencyWindow is the idempotency window where the configuration names none. Default 24 h.
	IdempotencyWindow time.Duration
	// Skew bounds the difference of two instances' wall clocks. Default 1 min.
	Skew time.Duration
	// SnapshotEvery is the time between snapshots of a partition; the log must
	// keep records for at least three times as long. Default 30 min.
	SnapshotEvery time.Duration
	// SnapshotAfter is the number of records after which a snapshot is written
	// early. Default 50000.
	SnapshotAfter int
	// SettleAfter is how long another instance's running attempt is left alone
	// before its agent is asked to settle it. A settle before the dispatch
	// fences the attempt and costs its author a second round. Default 2 s.
	SettleAfter time.Duration
	// PollEvery is the interval at which a waiting retry looks up the state. Default 200 ms.
	PollEvery time.Duration
	// PeerTimeout bounds one call of a writer or agent, so that a silent link
	// leaves time for the next candidate. Default 3 s.
	PeerTimeout time.Duration
	// IdleAfter is how long an instance that is not the first candidate keeps a
	// partition fold without requests. Default 10 min.
	IdleAfter time.Duration
}

// WithDefaults returns o with every zero field set to its default.
func (o Options) WithDefaults() Options {
	set(&o.Partitions, 4)
	set(&o.Window, 20*time.Millisecond)
	set(&o.BatchEntries, 256)
	set(&o.BatchBytes, 512<<10)
	set(&o.QueueEntries, 4096)
	set(&o.AppendsPerS, 20)
	set(&o.LogTimeout, 2*time.Second)
	set(&o.IdempotencyWindow, 24*time.Hour)
	set(&o.Skew, time.Minute)
	set(&o.SnapshotEvery, 30*time.Minute)
	set(&o.SnapshotAfter, 50_000)
	set(&o.SettleAfter, 2*time.Second)
	set(&o.PollEvery, 200*time.Millisecond)
	set(&o.PeerTimeout, 3*time.Second)
	set(&o.IdleAfter, 10*time.Minute)
	return o
}

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
