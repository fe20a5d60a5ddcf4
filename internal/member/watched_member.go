package member

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// watchedMember is the liveness state of a member that this instance watches.
type watchedMember struct {
	incarnation string
	// lastAlive is when the member was last known to be alive, initially the
	// time at which this instance began to watch it.
	lastAlive time.Time
	// probing and appending are set while a probe, or the append that removes
	// the member, is in progress.
	probing   bool
	appending bool
}

// goneReason returns the reason to remove a member after the given silence, or
// "" to keep it. The reason is `removed` only if the list lacks the instance
// after the longer timeout, because `removed` deletes its homes (H1).
func goneReason(silentFor time.Duration, listed listStatus) record.GoneReason {
	switch {
	case silentFor >= ListedTimeout && listed == unlisted:
		return record.GoneRemoved
	case silentFor >= ListedTimeout:
		return record.GoneSilent
	case silentFor >= UnlistedTimeout && (listed == unlisted || listed == listedLeaving):
		return record.GoneSilent
	default:
		return ""
	}
}
