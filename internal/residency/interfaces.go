// Package residency manages which checkpoints the engine of an agent holds in
// memory. It sends the engine orders to load and unload checkpoints. It reserves
// memory before each load order, sends load orders only for checkpoints of which
// the view makes the agent a home, and reads the engine's state after each order
// (H1, H2). The homes of a checkpoint are the instances that it is assigned to.
package residency

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// ViewSource provides the agent's view of the fleet, folded from the control
// stream, and the age of that view.
type ViewSource interface {
	View() *fold.View
	// MayWork reports whether the agent may load now. It is false while the view
	// age exceeds ViewBound and while the data centre is out of service.
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
