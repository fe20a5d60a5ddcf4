package atmostonce

import "time"

// Options configure writers and clients. A zero field takes its default.
type Options struct {
	// Partitions is the number of partition streams; it must be the same on all
	// instances. Default 4.
	Partitions int
	// BatchWindow is how long a writer collects requests before an append. Default 20 ms.
	BatchWindow time.Duration
	// BatchEntries and BatchBytes limit one append. Default 256 entries, 512 KiB.
	BatchEntries int
	BatchBytes   int
	// QueueEntries limits the requests that wait at one partition. Default 4096.
	QueueEntries int
	// AppendsPerSecond limits the appends of one partition; the burst is the appends
	// of one second. Default 20, so that four partitions stay under the 100 appends
	// a second that the platform allows the whole system.
	AppendsPerSecond float64
	// LogTimeout limits one request to the log. Default 2 s.
	LogTimeout time.Duration
	// IdempotencyWindow is how long keys are valid if the configuration does not
	// say. Default 24 h.
	IdempotencyWindow time.Duration
	// MaxClockSkew is the largest difference between the wall clocks of two
	// instances. Default 1 min.
	MaxClockSkew time.Duration
	// SnapshotInterval is the time between snapshots of a partition. The log must
	// keep records for at least three times as long. Default 30 min.
	SnapshotInterval time.Duration
	// SnapshotRecords is the number of records after which a snapshot starts before
	// the interval ends. Default 50000.
	SnapshotRecords int
	// SettleAfter is how long a client waits for the running attempt of another
	// instance before it asks the agent to settle the attempt. If it is too short,
	// agents fence attempts whose dispatch is still on its way, and their authors
	// need another attempt. Default 2 s.
	SettleAfter time.Duration
	// PollInterval is the interval at which a waiting retry reads the state. Default 200 ms.
	PollInterval time.Duration
	// PeerTimeout limits one request to a writer or agent, so that an unresponsive
	// connection leaves time for the next candidate. Default 3 s.
	PeerTimeout time.Duration
	// IdleTimeout is how long an instance that is not the first candidate of a
	// partition keeps the partition state without requests. Default 10 min.
	IdleTimeout time.Duration
}

// WithDefaults returns o with every zero field set to its default.
func (o Options) WithDefaults() Options {
	setDefault(&o.Partitions, 4)
	setDefault(&o.BatchWindow, 20*time.Millisecond)
	setDefault(&o.BatchEntries, 256)
	setDefault(&o.BatchBytes, 512<<10)
	setDefault(&o.QueueEntries, 4096)
	setDefault(&o.AppendsPerSecond, 20)
	setDefault(&o.LogTimeout, 2*time.Second)
	setDefault(&o.IdempotencyWindow, 24*time.Hour)
	setDefault(&o.MaxClockSkew, time.Minute)
	setDefault(&o.SnapshotInterval, 30*time.Minute)
	setDefault(&o.SnapshotRecords, 50_000)
	setDefault(&o.SettleAfter, 2*time.Second)
	setDefault(&o.PollInterval, 200*time.Millisecond)
	setDefault(&o.PeerTimeout, 3*time.Second)
	setDefault(&o.IdleTimeout, 10*time.Minute)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
