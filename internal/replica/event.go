// Package replica holds an instance's view of the control stream and decides
// whether the instance may work.
package replica

import (
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Event is one folded record, or a jump of the view to a snapshot.
type Event struct {
	Offset   platform.Offset
	Envelope record.Envelope
	Verdict  fold.ApplyResult
	// Restored tells that the view came from a snapshot; there is no envelope,
	// and the subscriber reads what it needs from the view.
	Restored bool
	// Missed is the number of events dropped before this one because the
	// subscriber's buffer was full; it then reads the view.
	Missed int
}
