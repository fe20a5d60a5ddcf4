package freshness

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// PeerStatus is a peer's answer to a contact message, which readers of the log
// exchange while the log fails.
type PeerStatus struct {
	Instance   string
	DataCentre string
	// Sent is when the contact message was sent; the answer is not older than that.
	Sent MonoTime
	// Reader is true if the peer reads the log itself instead of through a relay.
	Reader bool
	// LogAge and ViewAge are Tracker.LogAge and Tracker.ViewAge at the peer.
	LogAge  time.Duration
	ViewAge time.Duration
	// LogFailing is LogHealth.Failing at the peer.
	LogFailing bool
	// Offset is the highest offset that the peer knows of.
	Offset backing.Offset
}

// logMayBeUp reports whether the status shows that the log answered some reader
// within ViewBound, or that a read of the peer may still succeed. The view age
// counts as well as the log age, because an instance that is no longer a reader
// still learns of successful reads through the relay tree.
func (s PeerStatus) logMayBeUp() bool {
	return min(s.LogAge, s.ViewAge) <= ViewBound || (s.Reader && !s.LogFailing)
}
