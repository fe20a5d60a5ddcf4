package controlstate

import "github.com/jacinthbend/jacinthbend/internal/backing"

// Chunk is one part of a snapshot, small enough for one log record.
type Chunk struct {
	// Version is the version of the snapshot encoding.
	Version int `json:"version"`
	// ID identifies the snapshot that the chunk belongs to. Equal views have
	// equal ids, so when several instances write a snapshot of the same view,
	// their chunks can be combined.
	ID string `json:"id"`
	// Offset is the offset of the last record that the snapshot includes.
	Offset backing.Offset `json:"offset"`
	// Index is the position of the chunk, from 0; Count is the number of chunks.
	Index int `json:"index"`
	Count int `json:"count"`
	// Sum is the xxHash checksum of Data, in hexadecimal.
	Sum string `json:"sum"`
	// Data is a part of the compressed snapshot.
	Data []byte `json:"data"`
}
