// Package replica keeps an instance's view of the control stream up to date and
// decides whether the instance may work.
package replica

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Event is one record applied to the view, or the replacement of the view by a
// snapshot.
type Event struct {
	Offset   backing.Offset
	Envelope record.Envelope
	// Verdict is the result of applying the record: whether it took effect and,
	// if not, why.
	Verdict controlstate.ApplyResult
	// Restored is true if a snapshot replaced the view. The event then has no
	// envelope, and the subscriber reads what it needs from the view.
	Restored bool
	// Missed is the number of events dropped before this one because the
	// subscriber's buffer was full. If it is above 0, the subscriber reads what it
	// needs from the view.
	Missed int
}
