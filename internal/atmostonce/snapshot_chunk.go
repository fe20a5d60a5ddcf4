package atmostonce

import "github.com/jacinthbend/jacinthbend/internal/backing"

// SnapshotChunk is one part of a snapshot of a partition state. The snapshot
// covers the records up to the offset Through.
type SnapshotChunk struct {
	// ID is the same in all chunks of one snapshot.
	ID string `json:"id"`
	// Part is the number of this chunk, from 0. Parts is the number of chunks.
	Part    int            `json:"part"`
	Parts   int            `json:"parts"`
	Through backing.Offset `json:"through"`
	// LostUntilMS: records of keys created up to this time may be missing (Unix ms).
	LostUntilMS int64 `json:"blind_ms,omitempty"`
	// PrunedBeforeMS: keys created before this time have been pruned (Unix ms).
	PrunedBeforeMS int64       `json:"pruned_ms,omitempty"`
	States         []CallState `json:"states"`
}
