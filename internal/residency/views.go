// Package residency is an agent's account of what its engine holds. It
// reserves memory before each load order, gives orders only for checkpoints
// that the view decides the agent to be a home of, and reads the engine back
// after each order (H1, H2).
package residency

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// ViewSource gives the agent's folded view and its age.
type ViewSource interface {
	View() *fold.View
	// MayWork reports whether the agent may load now. It is false while the view
	// age exceeds ViewBound and while the data centre is out.
	MayWork() bool
	// Age is the upper bound of the view's age.
	Age() time.Duration
}

// SlotProvider hands out load slots of the fleet. The returned function gives the
// slot back.
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
