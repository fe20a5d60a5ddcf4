package freshness

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// PeerStatus is what a reader said in answer to a contact message.
type PeerStatus struct {
	Instance   string
	DataCentre string
	// Sent is when the question was sent, so the answer is at least as young.
	Sent MonoTime
	// Reader tells that the answering instance reads the log itself.
	Reader bool
	// LogAge and ViewAge are the ages at the answering instance.
	LogAge  time.Duration
	ViewAge time.Duration
	// LogFailing is LogHealth.Fails at the answering instance.
	LogFailing bool
	// Offset is the highest offset the answering instance knows.
	Offset platform.Offset
}

// sawLog reports that the log answered somebody within ViewBound, or may yet. The view age
// counts beside the log age: an instance that is no reader any more still
// hears of successful reads through the relay tree.
func (c PeerStatus) sawLog() bool {
	return min(c.LogAge, c.ViewAge) <= ViewBound || (c.Reader && !c.LogFailing)
}
