package operator

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// ClientSettings are the settings of a StreamClient.
type ClientSettings struct {
	// Name is the author of the envelopes. Default "cli".
	Name string
	// LoadSnapshot may be nil; the client then reads the stream from its start.
	LoadSnapshot SnapshotLoader
	// PageRecords is the most records per read. Default 512.
	PageRecords int
	// ConfirmWait is how long one read waits for a record that is known to be
	// in the stream. Default 1 s.
	ConfirmWait time.Duration
	// RetryMin and RetryMax bound the wait between attempts while the log does
	// not answer. Defaults 50 ms and 2 s.
	RetryMin time.Duration
	RetryMax time.Duration
	// TrailEntries is the most changes remembered for conflicts. Default
	// audit.DefaultTrailEntries.
	TrailEntries int
	// RetainVersion is a version whose document the client keeps while it reads;
	// see Remembered.
	RetainVersion platform.Offset
}
