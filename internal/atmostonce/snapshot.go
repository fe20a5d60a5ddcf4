package atmostonce

import (
	"cmp"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// chunkBytes limits the estimated size of the states in one snapshot chunk, so
// that a chunk and a batch fit in one append.
const chunkBytes = 128 << 10

// stateBytes is the estimated size of a state in JSON without its result body.
const stateBytes = 512

// Snapshot returns the records of a snapshot of the state with the given id. They
// may be appended one by one, with other records in between.
func (p *PartitionState) Snapshot(id string) []Record {
	chunks := [][]CallState{nil}
	size := 0
	for _, s := range p.sortedStates() {
		last := len(chunks) - 1
		chunks[last] = append(chunks[last], s)
		size += s.estimatedBytes()
		if size >= chunkBytes {
			chunks = append(chunks, nil)
			size = 0
		}
	}
	out := make([]Record, len(chunks))
	for i, states := range chunks {
		out[i] = Record{ID: id, Kind: RecordSnapshot, Snapshot: &SnapshotChunk{
			ID:             id,
			Part:           i,
			Parts:          len(chunks),
			Through:        p.offset,
			LostUntilMS:    p.lostUntilMS,
			PrunedBeforeMS: p.prunedBeforeMS,
			States:         states,
		}}
	}
	return out
}

func (p *PartitionState) sortedStates() []CallState {
	out := make([]CallState, 0, len(p.states))
	for _, s := range p.states {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b CallState) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Team, b.Team))
	})
	return out
}

func (s CallState) estimatedBytes() int {
	if s.Result == nil {
		return stateBytes
	}
	// JSON carries bytes in base64.
	return stateBytes + len(s.Result.Body)*4/3
}

// maxChunks limits the memory that a reader allocates for a damaged record.
const maxChunks = 1 << 16

// snapshots holds the chunks read so far by snapshot id.
type snapshots map[string][]*SnapshotChunk

func (s snapshots) add(c *SnapshotChunk) {
	if c == nil || c.Part < 0 || c.Part >= c.Parts || c.Parts > maxChunks {
		return
	}
	parts := s[c.ID]
	if parts == nil {
		parts = make([]*SnapshotChunk, c.Parts)
	}
	if len(parts) == c.Parts {
		parts[c.Part] = c
	}
	s[c.ID] = parts
}

// best returns the state of the best complete snapshot that covers every record
// before oldest, or nil if there is none. Among several it prefers the smallest
// LostUntilMS, then the newest.
func (s snapshots) best(oldest backing.Offset) *PartitionState {
	var found []*SnapshotChunk
	for _, parts := range s {
		if slices.Contains(parts, nil) || parts[0].Through+1 < oldest {
			continue
		}
		if found == nil || better(parts[0], found[0]) {
			found = parts
		}
	}
	if found == nil {
		return nil
	}
	p := NewPartitionState()
	p.offset = found[0].Through
	p.lostUntilMS = found[0].LostUntilMS
	p.prunedBeforeMS = found[0].PrunedBeforeMS
	for _, c := range found {
		for _, state := range c.States {
			p.states[state.CallID] = state
		}
	}
	return p
}

func better(a, b *SnapshotChunk) bool {
	if a.LostUntilMS != b.LostUntilMS {
		return a.LostUntilMS < b.LostUntilMS
	}
	return cmp.Or(cmp.Compare(a.Through, b.Through), cmp.Compare(a.ID, b.ID)) > 0
}
