package snapshot

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// chunkSet holds the chunks of one snapshot. offset is the control stream offset
// of the snapshot's view. If a chunk was appended twice, the
// later copy replaces the earlier one, which expires first.
type chunkSet struct {
	offset backing.Offset
	count  int
	chunks map[int]controlstate.Chunk
	// streamOffsets holds the offset of each chunk in the snapshot stream, by
	// chunk index.
	streamOffsets map[int]backing.Offset
}

func newChunkSet(c controlstate.Chunk) *chunkSet {
	return &chunkSet{
		offset:        c.Offset,
		count:         c.Count,
		chunks:        make(map[int]controlstate.Chunk),
		streamOffsets: make(map[int]backing.Offset),
	}
}

func (s *chunkSet) add(at backing.Offset, c controlstate.Chunk) {
	s.chunks[c.Index] = c
	s.streamOffsets[c.Index] = at
}

func (s *chunkSet) complete() bool { return len(s.chunks) == s.count }

// oldestOffset returns the stream offset of the chunk that expires first.
func (s *chunkSet) oldestOffset() backing.Offset {
	var oldest backing.Offset
	for _, at := range s.streamOffsets {
		if oldest == 0 || at < oldest {
			oldest = at
		}
	}
	return oldest
}

func (s *chunkSet) list() []controlstate.Chunk {
	out := make([]controlstate.Chunk, 0, len(s.chunks))
	for _, c := range s.chunks {
		out = append(out, c)
	}
	return out
}
