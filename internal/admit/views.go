// Package admit limits the requests that an agent passes to its upstream. A
// freshly started upstream gets few requests at once (H8). No request starts
// while the agent is draining, its data centre is configured as out, or its view is
// too old (H9, H13).
package admit

import "github.com/jacinthbend/jacinthbend/internal/controlstate"

// Views returns the agent's current view and reports whether it is recent
// enough to admit work.
type Views interface {
	View() *controlstate.View
	MayWork() bool
}
