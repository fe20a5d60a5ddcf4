package poison

import (
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// CrashNotice tells a peer of a crash directly. It is the body of POST
// /poison/notice and travels in the answers of agents.
type CrashNotice struct {
	record.PoisonCrash
	// Withdrawn ends an earlier notice: the upstream had not crashed.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Digest identifies a request's content.
type Digest = once.Digest
