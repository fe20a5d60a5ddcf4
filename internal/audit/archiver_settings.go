package audit

import "time"

// ArchiverSettings are the settings of an Archiver.
type ArchiverSettings struct {
	// LogRetention is how long the log keeps records. Default 24 h.
	LogRetention time.Duration
	// EntryRetention is how long an entry is kept in the audit stream. Default 90
	// days.
	EntryRetention time.Duration
	// PageEntries is the maximum number of entries per page. Default 64.
	PageEntries int
	// MaxWait is the maximum time that an entry waits for its page to fill. Default
	// 10 minutes, and at most a quarter of LogRetention.
	MaxWait time.Duration
}

// maxRenewalsPerStep bounds the pages renewed per step, so that a long audit stream
// does not use up the log's append rate.
const maxRenewalsPerStep = 8

// renewAgeDivisor sets the age at which a page is appended again, as LogRetention
// divided by it. The rest of the retention is a margin for an outage of the log.
const renewAgeDivisor = 2
