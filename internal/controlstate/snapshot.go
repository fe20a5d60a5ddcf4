package controlstate

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
)

// snapshotVersion is the version of the encoding. Raise it with every change
// that an older reader would misread.
const snapshotVersion = 1

// chunkBytes is the size of a chunk's data. The log service accepts small
// records only. With 64 KiB, a snapshot at the target scale is about 20 records.
const chunkBytes = 64 << 10

// maxSnapshotBytes limits the decompressed size, so that a corrupt snapshot
// cannot exhaust the memory of an instance.
const maxSnapshotBytes = 256 << 20

// ErrBadSnapshot means that chunks are missing, corrupt, of different snapshots
// or of an unknown version.
var ErrBadSnapshot = errors.New("snapshot cannot be restored")

// payload is the JSON form of a View. It omits KeyIDByHash, which view derives
// from the keys.
type payload struct {
	Offset                backing.Offset      `json:"offset"`
	ConfigVersion         backing.Offset      `json:"config_version"`
	Document              config.Document     `json:"document"`
	Members               map[string]Member   `json:"members"`
	Homes                 map[string]Homes    `json:"homes"`
	CheckpointsByInstance map[string][]string `json:"checkpoints_at"`
	Suspects              map[string]Suspect  `json:"suspects"`
	YoungIDs              []string            `json:"young_ids"`
	OldIDs                []string            `json:"old_ids"`
}

// Snapshot encodes v as a series of chunks. Equal views give equal chunks.
func (v *View) Snapshot() ([]Chunk, error) {
	data, err := v.encode()
	if err != nil {
		return nil, err
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	id := snapshotID(v.Offset, data)
	parts := slices.Collect(slices.Chunk(compressed, chunkBytes))
	chunks := make([]Chunk, len(parts))
	for i, part := range parts {
		chunks[i] = Chunk{
			Version: snapshotVersion, ID: id, Offset: v.Offset,
			Index: i, Count: len(parts), Sum: checksum(part), Data: part,
		}
	}
	return chunks, nil
}

// Digest returns the xxHash of the whole state. Views that applied the same records
// have the same digest.
func (v *View) Digest() (uint64, error) {
	data, err := v.encode()
	return xxhash.Sum64(data), err
}

// Restore decodes the view from all chunks of a snapshot. They may be in any
// order and contain duplicates. Every error wraps ErrBadSnapshot.
func Restore(chunks []Chunk) (*View, error) {
	compressed, err := joinChunks(chunks)
	if err != nil {
		return nil, err
	}
	data, err := decompress(compressed)
	if err != nil {
		return nil, errors.Wrap(ErrBadSnapshot, err.Error())
	}
	first := chunks[0]
	if snapshotID(first.Offset, data) != first.ID {
		return nil, errors.Wrap(ErrBadSnapshot, "checksum of the decompressed snapshot does not match its id")
	}
	var p payload
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(ErrBadSnapshot, err.Error())
	}
	return p.view(), nil
}

// Valid reports whether the chunk has a known version, a plausible index and a
// correct checksum.
func (c Chunk) Valid() bool {
	return c.Version == snapshotVersion && c.Count > 0 && c.Index >= 0 && c.Index < c.Count && c.Sum == checksum(c.Data)
}

func joinChunks(chunks []Chunk) ([]byte, error) {
	if len(chunks) == 0 {
		return nil, errors.Wrap(ErrBadSnapshot, "no chunks")
	}
	sorted := slices.Clone(chunks)
	slices.SortFunc(sorted, func(a, b Chunk) int { return cmp.Compare(a.Index, b.Index) })
	var compressed []byte
	next := 0
	for _, c := range sorted {
		if !c.Valid() || c.ID != chunks[0].ID || c.Count != chunks[0].Count {
			return nil, errors.Wrapf(ErrBadSnapshot, "chunk %d is corrupt or belongs to another snapshot", c.Index)
		}
		if c.Index == next {
			compressed = append(compressed, c.Data...)
			next++
		}
	}
	if next != chunks[0].Count {
		return nil, errors.Wrapf(ErrBadSnapshot, "%d of %d chunks present", next, chunks[0].Count)
	}
	return compressed, nil
}

func (v *View) encode() ([]byte, error) {
	data, err := json.Marshal(payload{
		Offset:                v.Offset,
		ConfigVersion:         v.ConfigVersion,
		Document:              v.Document(),
		Members:               v.Members.Map(),
		Homes:                 v.Homes.Map(),
		CheckpointsByInstance: v.CheckpointsByInstance.Map(),
		Suspects:              v.Suspects.Map(),
		YoungIDs:              sortedKeys(v.recent.young),
		OldIDs:                sortedKeys(v.recent.old),
	})
	return data, errors.Wrap(err, "encode view")
}

func (p payload) view() *View {
	keyIDs := make(map[string]string, len(p.Document.Keys))
	for id, key := range p.Document.Keys {
		keyIDs[key.SHA256] = id
	}
	return &View{
		Offset:                p.Offset,
		ConfigVersion:         p.ConfigVersion,
		Teams:                 cowmap.FromMap(p.Document.Teams),
		Keys:                  cowmap.FromMap(p.Document.Keys),
		DataCentres:           cowmap.FromMap(p.Document.DataCentres),
		Pools:                 cowmap.FromMap(p.Document.Pools),
		Models:                cowmap.FromMap(p.Document.Models),
		Adapters:              cowmap.FromMap(p.Document.Adapters),
		Routes:                cowmap.FromMap(p.Document.Routes),
		Limits:                p.Document.Limits,
		KeyIDByHash:           cowmap.FromMap(keyIDs),
		Members:               cowmap.FromMap(p.Members),
		Homes:                 cowmap.FromMap(p.Homes),
		CheckpointsByInstance: cowmap.FromMap(p.CheckpointsByInstance),
		Suspects:              cowmap.FromMap(p.Suspects),
		recent:                recentIDs{young: setOf(p.YoungIDs), old: setOf(p.OldIDs)},
	}
}

func sortedKeys(t *cowmap.Table[struct{}]) []string {
	return slices.Sorted(maps.Keys(t.Map()))
}

func setOf(keys []string) *cowmap.Table[struct{}] {
	set := make(map[string]struct{}, len(keys))
	for _, k := range keys {
		set[k] = struct{}{}
	}
	return cowmap.FromMap(set)
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress view")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress view")
	}
	err = w.Close()
	return out.Bytes(), errors.Wrap(err, "compress view")
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxSnapshotBytes))
}

func snapshotID(offset backing.Offset, data []byte) string {
	return fmt.Sprintf("%d-%016x", offset, xxhash.Sum64(data))
}

func checksum(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }
