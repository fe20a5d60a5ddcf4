package audit

import "time"

// ArchiverSettings are the settings of a Carrier.
type ArchiverSettings struct {
	// LogRetention is how long the log keeps records. Default 24 h.
	LogRetention time.Duration
	// EntryRetention is how long an entry is kept. Default 90 days.
	EntryRetention time.Duration
	// PageEntries is the number of entries that fill a page. Default 64.
	PageEntries int
	// MaxWait is the longest that an entry waits for its page to fill. Default
	// 10 minutes, and at most a quarter of Retention.
	MaxWait time.Duration
}

// carryPerStep bounds the pages carried forward per step, so that a large
// trail does not take the log's append rate.
const carryPerStep = 8

// carryFraction of the retention is the age at which a page is appended
// again; the rest of the retention allows for an outage of the log.
const carryFraction = 2
