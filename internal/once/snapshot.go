package once

import (
	"cmp"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// chunkBytes bounds the states of one snapshot chunk, so that a chunk and a
// batch fit one append.
const chunkBytes = 128 << 10

// stateBytes estimates the JSON form of a state without its result body.
const stateBytes = 512

// Snapshot returns the records of a copy of the fold under the given id. They
// may be appended one by one, with other records in between.
func (f *Fold) Snapshot(id string) []Record {
	chunks := [][]CallState{nil}
	size := 0
	for _, s := range f.sorted() {
		last := len(chunks) - 1
		chunks[last] = append(chunks[last], s)
		size += s.size()
		if size >= chunkBytes {
			chunks = append(chunks, nil)
			size = 0
		}
	}
	out := make([]Record, len(chunks))
	for i, states := range chunks {
		out[i] = Record{ID: id, Kind: RecordSnapshot, Snapshot: &SnapshotChunk{
			ID:       id,
			Part:     i,
			Parts:    len(chunks),
			Through:  f.offset,
			BlindMS:  f.blindMS,
			PrunedMS: f.prunedMS,
			States:   states,
		}}
	}
	return out
}

func (f *Fold) sorted() []CallState {
	out := make([]CallState, 0, len(f.states))
	for _, s := range f.states {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b CallState) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Team, b.Team))
	})
	return out
}

func (s CallState) size() int {
	if s.Result == nil {
		return stateBytes
	}
	// JSON carries bytes in base64.
	return stateBytes + len(s.Result.Body)*4/3
}

// maxChunks bounds what a damaged record can make a reader allocate.
const maxChunks = 1 << 16

// snapshots collects chunks by snapshot id.
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

// best returns the fold of the complete snapshot that covers every record
// before oldest; among several the least blind, then the newest. It returns nil
// when there is none.
func (s snapshots) best(oldest platform.Offset) *Fold {
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
	f := NewFold()
	f.offset = found[0].Through
	f.blindMS = found[0].BlindMS
	f.prunedMS = found[0].PrunedMS
	for _, c := range found {
		for _, state := range c.States {
			f.states[state.CallID] = state
		}
	}
	return f
}

func better(a, b *SnapshotChunk) bool {
	if a.BlindMS != b.BlindMS {
		return a.BlindMS < b.BlindMS
	}
	return cmp.Or(cmp.Compare(a.Through, b.Through), cmp.Compare(a.ID, b.ID)) > 0
}
