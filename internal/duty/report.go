package duty

import "time"

// Report has the counts of a window as they are in the log.
type Report struct {
	Window int64
	Counts map[string]int64
	At     time.Time
}
