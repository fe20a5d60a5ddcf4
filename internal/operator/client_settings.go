package operator

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// ClientSettings are the settings of a StreamClient.
type ClientSettings struct {
	// Name is the author that the client writes into each record's envelope.
	// Default "cli".
	Name string
	// LoadSnapshot loads the newest snapshot. If it is nil, the client reads the
	// stream from its start.
	LoadSnapshot SnapshotLoader
	// PageRecords is the maximum number of records per read. Default 512.
	PageRecords int
	// ConfirmWait is how long one read waits for a record that the log has
	// acknowledged. Default 1 s.
	ConfirmWait time.Duration
	// RetryMin and RetryMax bound the backoff between attempts while the log is
	// unavailable. Defaults 50 ms and 2 s.
	RetryMin time.Duration
	RetryMax time.Duration
	// TrailEntries is the maximum number of recent changes kept in memory for
	// describing conflicts. Default audit.DefaultRecentEntries.
	TrailEntries int
	// RetainVersion is a configuration version. The client keeps the view at that
	// version while it reads newer ones; see StreamClient.RetainedView.
	RetainVersion backing.Offset
}
