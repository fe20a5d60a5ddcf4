package duty

import "time"

// Hint is what the holder has told this instance directly. It only saves reads of the log: no
// instance claims a duty because of a hint.
type Hint struct {
	// Holder is the instance that told it, and Token its fencing token.
	Holder string
	Token  int64
	// Recorded is the newest window with a report in the log, and RecordedAt when that was told. It
	// is told after the first attempt to send the report.
	Recorded   int64
	RecordedAt time.Time
	// Pending is a window for whose counts the holder still waits.
	Pending int64
}
