// Package operator implements the operators' actions: publishing configuration,
// issuing and withdrawing keys, and taking data centres out of service and
// returning them. The console and the command line both use it.
package operator

import (
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// Stream is the access to the control stream that a Publisher needs.
type Stream interface {
	Appender
	// View returns the view after the newest record that was read.
	View() *controlstate.View
}
