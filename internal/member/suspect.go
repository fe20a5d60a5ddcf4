package member

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// suspect is a watched member.
type suspect struct {
	incarnation string
	// alive is when the member was last known alive, at first the time when the
	// watch began.
	alive time.Time
	// probing and ending tell that a probe or an append is under way.
	probing bool
	ending  bool
}

// verdictOn returns the reason to end a member that has been silent for d, or
// "". Only an instance that the list lacks after the longer silence counts as
// removed, because its homes are given away then (H1).
func verdictOn(d time.Duration, listed presence) record.GoneReason {
	switch {
	case d >= ListedTimeout && listed == unlisted:
		return record.GoneRemoved
	case d >= ListedTimeout:
		return record.GoneSilent
	case d >= UnlistedTimeout && (listed == unlisted || listed == listedLeaving):
		return record.GoneSilent
	default:
		return ""
	}
}
