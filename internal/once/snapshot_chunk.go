package once

import "github.com/jacinthbend/jacinthbend/internal/platform"

// SnapshotChunk is a part of a copy of the fold after the record at Through.
type SnapshotChunk struct {
	// ID is the same in all chunks of one copy.
	ID string `json:"id"`
	// Part counts the chunks from 0; Parts is their number.
	Part    int             `json:"part"`
	Parts   int             `json:"parts"`
	Through platform.Offset `json:"through"`
	// BlindMS: records of keys minted up to then may be missing (Unix ms).
	BlindMS int64 `json:"blind_ms,omitempty"`
	// PrunedMS: keys minted before then have been dropped (Unix ms).
	PrunedMS int64   `json:"pruned_ms,omitempty"`
	States   []CallState `json:"states"`
}
