// Package loadqueue limits how many loads run at once in the whole fleet and
// decides their order. Each load needs a slot of its class: base models share the
// weight store, adapters a separate limit. One entry instance owns the queue and
// grants slots as leases to agents. While the owner does not answer, agents run
// all loads but preloads without a slot.
package loadqueue

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Class is the kind of a load; each class has its own limit.
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
	Offset backing.Offset `json:"offset"`
	// ID is unique to the load. A repeated request with the same ID gets the same slot.
	ID         string             `json:"id"`
	Holder     record.InstanceRef `json:"holder"`
	Class      Class              `json:"class"`
	Checkpoint string             `json:"checkpoint"`
	// DeadlineMS is the time until the first of the waiting requests must have
	// started, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// Value is the checkpoint's configured value; among loads with about the same
	// deadline the highest goes first.
	Value int `json:"value"`
	// Team is the team of the first of the waiting requests; empty for preloads.
	Team string `json:"team,omitempty"`
	// MemoryMiB is the size of the checkpoint, in MiB.
	MemoryMiB int64 `json:"memory_mib"`
	// Preload marks a load that no request waits for.
	Preload bool `json:"preload,omitempty"`
}

// SlotResponse answers a SlotRequest.
type SlotResponse struct {
	Offset backing.Offset `json:"offset"`
	ID     string         `json:"id"`
	// Granted is false if the request still waits; the agent then asks again.
	Granted bool `json:"granted"`
	// TTL is how long the lease of the slot lasts unless it is renewed, in nanoseconds.
	TTL time.Duration `json:"ttl_ns"`
}

// RenewRequest renews an agent's slots (POST /loads/renew). It lists all slots
// that the agent holds, so that a new owner learns of those that an earlier owner
// granted.
type RenewRequest struct {
	Offset backing.Offset     `json:"offset"`
	Holder record.InstanceRef `json:"holder"`
	Slots  []HeldSlot         `json:"slots"`
}

// HeldSlot is one slot of a RenewRequest.
type HeldSlot struct {
	ID         string `json:"id"`
	Class      Class  `json:"class"`
	Checkpoint string `json:"checkpoint"`
}

// ReleaseRequest releases a slot (POST /loads/done).
type ReleaseRequest struct {
	Offset backing.Offset     `json:"offset"`
	ID     string             `json:"id"`
	Holder record.InstanceRef `json:"holder"`
}
