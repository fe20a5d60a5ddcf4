// Package engine has the interface to a model engine and its HTTP client.
package engine

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// LoadRequest tells the engine to load a checkpoint.
type LoadRequest struct {
	// Checkpoint is "model" or "model:adapter".
	Checkpoint string `json:"checkpoint"`
	Version    string `json:"version"`
	MemoryMiB  int64  `json:"memory_mib"`
	// Fence is the fencing token: the offset of the record that placed the
	// checkpoint. Engines that check it refuse an order whose token is lower than
	// the highest that they have seen for the checkpoint.
	Fence backing.Offset `json:"fence"`
}

// UnloadRequest tells the engine to unload a checkpoint.
type UnloadRequest struct {
	Checkpoint string         `json:"checkpoint"`
	Fence      backing.Offset `json:"fence"`
}

// CheckpointState is the state of a checkpoint in the engine's memory.
type CheckpointState struct {
	Checkpoint string         `json:"checkpoint"`
	Version    string         `json:"version"`
	MemoryMiB  int64          `json:"memory_mib"`
	Fence      backing.Offset `json:"fence"`
	// Loading is true while the load has not finished.
	Loading bool `json:"loading,omitempty"`
}

// MemoryState lists the checkpoints in an engine's memory.
type MemoryState struct {
	// BootID is new for each start of the engine: a changed id means that it crashed
	// or was restarted.
	BootID      string            `json:"boot_id"`
	MemoryMiB   int64             `json:"memory_mib"`
	Checkpoints []CheckpointState `json:"checkpoints"`
}

// CheckpointLoader loads and unloads checkpoints of an agent's engine. After an
// error the call may have taken effect, unless the error is an *errkind.Error
// whose Ran is errkind.RanNo.
type CheckpointLoader interface {
	Load(ctx context.Context, req LoadRequest) error
	Unload(ctx context.Context, req UnloadRequest) error
	MemoryState(ctx context.Context) (MemoryState, error)
}
