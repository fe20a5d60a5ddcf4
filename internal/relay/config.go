package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// Times of the relay. With a poll of 500 ms a reader's view age stays below
// 1 s, and each of at most 3 hops adds at most RefreshGain, so that an
// undisturbed fleet stays below freshness.ViewBound.
const (
	// LogPollWait is how long a log read waits for records.
	LogPollWait = 500 * time.Millisecond
	// LogRetryDelay is the pause after a failed log read.
	LogRetryDelay = 500 * time.Millisecond
	// LogReadHedgeDelay is the age of an unanswered log read at which another starts,
	// since its connection may be silent (F11).
	LogReadHedgeDelay = time.Second
	// LogReadTimeout ends a log read. A log that answers later than this is
	// treated like one that is down.
	LogReadTimeout = 10 * time.Second
	// DirectReadInterval limits the log reads of an instance that is no reader.
	DirectReadInterval = time.Second
	// PullWait is how long a parent holds an idle pull.
	PullWait = time.Second
	// MinAgeImprovement is the gain in age that ends an idle pull early.
	MinAgeImprovement = 600 * time.Millisecond
	// ParentTimeout is the time without answer after which a parent is replaced.
	ParentTimeout = 2 * time.Second
	// ParentRetryInterval is the interval at which a child tries its own parent again.
	ParentRetryInterval = 10 * time.Second
	// StatusTimeout ends a contact message.
	StatusTimeout = time.Second
	// SnapshotTimeout ends a snapshot transfer.
	SnapshotTimeout = 20 * time.Second
	// idleCheck is the interval at which an idle loop looks at its role again.
	idleCheck = 250 * time.Millisecond
	// olderSlack is the difference in age between parent and child that
	// transit alone can explain.
	olderSlack = 250 * time.Millisecond
)

// DefaultResponseRecords is the default of Config.DefaultResponseRecords.
const DefaultResponseRecords = 512

// pendingReads bounds the log reads in flight at one instance.
const pendingReads = 10

// Sink holds the view. Its methods are called by one goroutine at a time,
// except View.
type Sink interface {
	View() *fold.View
	// Apply folds consecutive records, the first of which follows the view.
	Apply(records []platform.Record)
	// Restore replaces the view by one of a higher offset.
	Restore(v *fold.View)
}

// Config is what a Relay needs.
type Config struct {
	Self    *Self
	Log     platform.Log
	Dialer  Dialer
	Sink    Sink
	Tracker *freshness.Tracker
	// Seeds are peer addresses (IP:port) to pull from before the own join is
	// folded; may be empty.
	Seeds []string
	// BufferRecords bounds the records kept for children; 0 means BufferRecords.
	BufferRecords int
	// ResponseRecords bounds the records of one log read and of one answer to a
	// child; 0 means ResponseRecords.
	ResponseRecords int
	// NewestSnapshot returns the newest snapshot of the log; nil when there is none.
	NewestSnapshot func(ctx context.Context) (*fold.View, error)
	// Rand spreads retries.
	Rand *rand.Rand
	// Disabled switches rules off for negative controls.
	Disabled DisabledRules
}

// DisabledRules switches off single rules, each of which guards H6, H9, H13 and H15.
// Only negative controls set it.
type DisabledRules struct {
	// AgeInTransit: a child adds its waiting time to its parent's age.
	AgeInTransit bool
	// AgeRequiresOffset: an age counts only once the view has reached the
	// offset of the answer that carried it.
	AgeRequiresOffset bool
	// EveryDataCentre: an outage needs the word of every other data centre.
	EveryDataCentre bool
}
