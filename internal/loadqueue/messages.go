// Package loadqueue orders the loads that share the weight store and the
// fleet-wide adapter slots. One entry instance owns the queue; agents hold
// slots as leases and go to the store directly while no owner answers.
package loadqueue

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Class tells which of the two limits a load is subject to.
type Class string

// Classes of load.
const (
	// Store loads fetch a base model from the weight store.
	Store Class = "store"
	// Adapter loads fetch an adapter.
	Adapter Class = "adapter"
)

// SlotRequest asks for a slot (POST /loads/slot).
type SlotRequest struct {
	// Offset is the sender's highest offset of the control stream.
	Offset platform.Offset `json:"offset"`
	// ID is unique per load; a repeated request with the same id gets the same slot.
	ID         string         `json:"id"`
	Holder     record.InstanceRef `json:"holder"`
	Class      Class          `json:"class"`
	Checkpoint string         `json:"checkpoint"`
	// DeadlineMS is the time left until the earliest waiting request must have started, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// Value is the checkpoint's configured value.
	Value int `json:"value"`
	// Team is the team of the first waiting request; empty for preloads.
	Team string `json:"team,omitempty"`
	// MemoryMiB is the size of the checkpoint, in MiB.
	MemoryMiB int64 `json:"memory_mib"`
	// Preload marks a load that no request waits for.
	Preload bool `json:"preload,omitempty"`
}

// SlotAnswer answers a SlotRequest.
type SlotAnswer struct {
	Offset platform.Offset `json:"offset"`
	ID     string          `json:"id"`
	// Granted is false when the request still waits; the agent asks again.
	Granted bool `json:"granted"`
	// TTL is how long the slot lives unless it is renewed, in nanoseconds.
	TTL time.Duration `json:"ttl_ns"`
}

// Report renews an agent's slots (POST /loads/renew). It lists all that the
// agent holds, so that an owner that takes over learns them.
type Report struct {
	Offset platform.Offset `json:"offset"`
	Holder record.InstanceRef  `json:"holder"`
	Slots  []HeldSlot      `json:"slots"`
}

// HeldSlot is one slot of a Report.
type HeldSlot struct {
	ID         string `json:"id"`
	Class      Class  `json:"class"`
	Checkpoint string `json:"checkpoint"`
}

// DoneRequest gives a slot back (POST /loads/done).
type DoneRequest struct {
	Offset platform.Offset `json:"offset"`
	ID     string          `json:"id"`
	Holder record.InstanceRef  `json:"holder"`
}
