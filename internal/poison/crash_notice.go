package poison

import (
	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// CrashNotice tells a peer of a crash directly, without the log. It is the body
// of POST /poison/notice.
type CrashNotice struct {
	record.PoisonCrash
	// Withdrawn cancels an earlier notice, because the upstream had not crashed.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Digest identifies the content of a request.
type Digest = atmostonce.Digest
