package standin

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// EngineEventKind is the kind of an EngineEvent.
type EngineEventKind string

// Kinds of EngineEvent. A checkpoint occupies memory from EngineLoading until
// EngineDropped or EngineBooted.
const (
	EngineLoading  EngineEventKind = "loading"
	EngineLoaded   EngineEventKind = "loaded"
	EngineDropped  EngineEventKind = "dropped"
	EngineRefused  EngineEventKind = "refused"
	EngineBooted   EngineEventKind = "booted"
	EngineFenceSet EngineEventKind = "fence_set"
)

// EngineEvent is one entry of a FaultyEngine's history. Tests check invariants on it.
type EngineEvent struct {
	At         time.Time
	Engine     string
	Kind       EngineEventKind
	Checkpoint string
	MemoryMiB  int64
	Fence      backing.Offset
}
