package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// Intervals and timeouts of the relay. With a log poll of 500 ms, the view age
// of a reader stays below 1 s. Each of the at most 3 hops adds at most
// MinAgeImprovement. Without faults, the view age of every instance therefore
// stays below freshness.ViewBound.
const (
	// LogPollWait is how long the log holds a read while it has no new records.
	LogPollWait = 500 * time.Millisecond
	// LogRetryDelay is the delay after a failed log read.
	LogRetryDelay = 500 * time.Millisecond
	// LogReadHedgeDelay is how long a log read may stay unanswered before
	// another one starts in parallel, because its connection may be dead
	// without an error (F11).
	LogReadHedgeDelay = time.Second
	// LogReadTimeout is the deadline of a log read. A log that takes longer to
	// answer counts as down.
	LogReadTimeout = 10 * time.Second
	// DirectReadInterval is the minimum interval between log reads of an
	// instance that is not a reader.
	DirectReadInterval = time.Second
	// PullWait is the longest time that a parent holds a pull while it has
	// nothing to send.
	PullWait = time.Second
	// MinAgeImprovement is how much lower the age of the parent must be than
	// that of the child for the parent to answer a pull early without records.
	MinAgeImprovement = 600 * time.Millisecond
	// ParentTimeout is the deadline of a pull. On expiry the child switches to
	// its next source.
	ParentTimeout = 2 * time.Second
	// ParentRetryInterval is how long a child pulls from another source before
	// it tries its parent again.
	ParentRetryInterval = 10 * time.Second
	// StatusTimeout is the deadline of a status request.
	StatusTimeout = time.Second
	// SnapshotTimeout is the deadline of a snapshot transfer.
	SnapshotTimeout = 20 * time.Second
	// idleCheckInterval is how often an idle loop checks whether it has work to
	// do.
	idleCheckInterval = 250 * time.Millisecond
	// parentAgeTolerance is how much the age of the parent may exceed that of
	// the child before the child switches to its next source. It covers the
	// transit time, which the child adds to the parent's age.
	parentAgeTolerance = 250 * time.Millisecond
)

// DefaultResponseRecords is the default of Config.ResponseRecords.
const DefaultResponseRecords = 512

// maxPendingReads limits the concurrent log reads of one instance.
const maxPendingReads = 10

// Sink holds the view. The relay never calls its methods concurrently, except
// View.
type Sink interface {
	View() *controlstate.View
	// Apply folds consecutive records into the view. The first one directly
	// follows the offset of the view.
	Apply(records []backing.Record)
	// Restore replaces the view by v, which has a higher offset.
	Restore(v *controlstate.View)
}

// Config holds the dependencies and settings of a Relay.
type Config struct {
	Self    *Self
	Log     backing.Log
	Dialer  Dialer
	Sink    Sink
	Tracker *freshness.Tracker
	// Seeds are peer addresses (IP:port) to pull from until the join of this
	// instance appears in the view. May be empty.
	Seeds []string
	// BufferRecords limits the records buffered for children; 0 means
	// DefaultBufferRecords.
	BufferRecords int
	// ResponseRecords limits the records of one log read and of one response to
	// a child; 0 means DefaultResponseRecords.
	ResponseRecords int
	// NewestSnapshot returns the newest snapshot stored in the log, or nil if
	// there is none.
	NewestSnapshot func(ctx context.Context) (*controlstate.View, error)
	// Rand provides the jitter of retries.
	Rand *rand.Rand
	// Disabled turns off individual rules. Only negative tests set it.
	Disabled DisabledRules
}

// DisabledRules turns off individual rules that protect H6, H9, H13 and H15.
// Negative tests set it to show that the invariants break without the rule.
type DisabledRules struct {
	// AgeInTransit: a child adds the transit time of a response to the ages in
	// it.
	AgeInTransit bool
	// AgeRequiresOffset: an age counts only once the view has reached the
	// offset of the response that carried it.
	AgeRequiresOffset bool
	// EveryDataCentre: a log outage counts as confirmed only if readers in
	// every other data centre confirm it.
	EveryDataCentre bool
}
