package duty

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/usage"
)

// Situation is all that Decide depends on.
type Situation struct {
	// Now is the estimated true time, and Boot the boot time, which no step of a clock changes.
	Now     time.Time
	Boot    time.Duration
	Windows usage.Windows
	Bounds  Bounds

	// Self is this instance, and Start the random number of this run of it.
	Self  string
	Start uint64
	// FirstStart tells that no instance of the system ran before on this platform.
	FirstStart bool
	// Ranked are the entry instances in the member list, in the order in which they claim.
	Ranked []string

	Ledger *Ledger
	// ReadAt is when the log was last read, zero if never.
	ReadAt time.Time
	// StoreEra is the newest era in which the store has been seen, and EraWindow the window in
	// which this instance saw it first.
	StoreEra  int64
	EraWindow int64
	// FirstWindow is the window in which this instance started.
	FirstWindow int64
	Hint        Hint
	// Silent is the token of a claim whose holder did not answer a Ping, 0 if there is none.
	Silent int64
	// WasHolder tells that this instance had the duty when it last read the log.
	WasHolder bool
	// ActFrom is the boot time from which on the holder may make calls, and VerifiedAt that at
	// which it last verified its claim.
	ActFrom, VerifiedAt time.Duration
	// LogFrom and CallFrom are the boot times from which on the log and the platform are called
	// again.
	LogFrom, CallFrom time.Duration
	// Collecting is the window that is being collected, and Collected the one that has been; 0 for
	// none.
	Collecting, Collected int64
	// Outbox are the windows that are in the log and have not been taken by the platform yet.
	Outbox []int64
	// NewOrders and UnsentOrders are how many orders of servers have to be recorded and to be sent.
	NewOrders, UnsentOrders int
}
