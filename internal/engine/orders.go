// Package engine holds the interface to a model engine and its HTTP client.
package engine

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// LoadRequest tells the engine to load a checkpoint.
type LoadRequest struct {
	// Checkpoint is "model" or "model:adapter".
	Checkpoint string `json:"checkpoint"`
	Version    string `json:"version"`
	MemoryMiB  int64  `json:"memory_mib"`
	// Fence is the offset of the decision; engines that check refuse a lower
	// one than they have seen for the checkpoint.
	Fence platform.Offset `json:"fence"`
}

// UnloadRequest tells the engine to drop a checkpoint.
type UnloadRequest struct {
	Checkpoint string          `json:"checkpoint"`
	Fence      platform.Offset `json:"fence"`
}

// CheckpointState is one checkpoint in the engine's memory.
type CheckpointState struct {
	Checkpoint string          `json:"checkpoint"`
	Version    string          `json:"version"`
	MemoryMiB  int64           `json:"memory_mib"`
	Fence      platform.Offset `json:"fence"`
	// Loading is true while the load has not finished.
	Loading bool `json:"loading,omitempty"`
}

// MemoryState is what an engine holds.
type MemoryState struct {
	// BootID changes whenever the engine starts; a changed id means a crash or restart.
	BootID      string            `json:"boot_id"`
	MemoryMiB   int64             `json:"memory_mib"`
	Checkpoints []CheckpointState `json:"checkpoints"`
}

// CheckpointLoader are the orders that an agent gives its engine. After an error other
// than an *errkind.Error that says "not run" the order may have taken effect.
type CheckpointLoader interface {
	Load(ctx context.Context, order LoadRequest) error
	Unload(ctx context.Context, order UnloadRequest) error
	MemoryState(ctx context.Context) (MemoryState, error)
}
