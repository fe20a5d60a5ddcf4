// Package residency manages which checkpoints the engine of an agent holds in
// memory, by sending the engine load and unload orders. Before a load order it
// reserves the memory and checks in the view that the agent's instance is a home of
// the checkpoint, that is, that the checkpoint is assigned to it. After each order it
// reads the engine's state (H1, H2).
package residency

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// ViewSource provides the agent's view of the fleet, which is built from the control
// stream, and the age of that view.
type ViewSource interface {
	View() *controlstate.View
	// MayWork reports whether the agent may load now. It is false while the view is
	// older than freshness.ViewBound and while the data centre is configured as out.
	MayWork() bool
	// Age returns an upper bound of the view's age.
	Age() time.Duration
}

// SlotProvider grants the fleet's load slots. Calling done returns the slot.
type SlotProvider interface {
	Slot(ctx context.Context, load Load) (done func(), err error)
}

// Load describes a load that needs a slot.
type Load struct {
	Checkpoint string
	// Adapter is true for an adapter, false for a base model.
	Adapter   bool
	Deadline  time.Time
	Value     int
	Team      string
	MemoryMiB int64
	// Preload marks a load that no request waits for.
	Preload bool
}

// RecordAppender appends a record to the control stream. After an error the record
// may still have been appended; a repeated record changes nothing.
type RecordAppender interface {
	Append(ctx context.Context, body record.Body) error
}
