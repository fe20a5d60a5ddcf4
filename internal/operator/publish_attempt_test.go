package operator

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Outcomes of a publication attempt.
const (
	outcomeAccepted  = "accepted"
	outcomeRefused   = "refused"
	outcomeUncertain = "unknown"
	outcomeKilled    = "killed"
)

// publishAttempt is one attempt of an operator to publish a change.
type publishAttempt struct {
	operator string
	// changeID identifies the change; a repeated attempt keeps it.
	changeID float64
	base     backing.Offset
	changes  []record.EntryChange
	outcome  string
	version  backing.Offset
	// unchanged reports that the current version already had the changes.
	unchanged bool
}
