package snapshot

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// collector groups chunks by snapshot and keeps the newest complete snapshots.
type collector struct {
	after backing.Offset
	sets  map[string]*chunkSet
}

func newCollector() *collector { return &collector{sets: make(map[string]*chunkSet)} }

// readToEnd reads the snapshot stream from the last read offset to its end.
func (c *collector) readToEnd(ctx context.Context, log backing.Log) error {
	for {
		page, err := log.Read(ctx, Stream, c.after, chunksPerRead, 0)
		var expired *backing.ExpiredError
		if errors.As(err, &expired) && expired.Oldest > c.after+1 {
			c.after = expired.Oldest - 1
			continue
		}
		if err != nil {
			return errors.Wrap(err, "read snapshots")
		}
		c.expire(page)
		if len(page.Records) == 0 {
			return nil
		}
		for _, rec := range page.Records {
			c.add(rec)
		}
	}
}

func (c *collector) add(rec backing.Record) {
	c.after = rec.Offset
	var chunk controlstate.Chunk
	if err := json.Unmarshal(rec.Data, &chunk); err != nil || !chunk.Valid() {
		return
	}
	set, ok := c.sets[chunk.ID]
	if !ok {
		set = newChunkSet(chunk)
		c.sets[chunk.ID] = set
	}
	set.add(rec.Offset, chunk)
	if set.complete() {
		c.dropSuperseded(set.offset)
	}
}

// expire drops snapshots that have lost a chunk because the log no longer
// retains it. Otherwise the writer would take an expired snapshot for the newest
// one and not replace it while the control stream has no new records.
func (c *collector) expire(page backing.Page) {
	for id, set := range c.sets {
		if set.oldestOffset() < page.Oldest || page.Oldest == 0 {
			delete(c.sets, id)
		}
	}
}

// dropSuperseded limits memory use. It keeps the newest complete snapshot, and
// the complete one before it as a fallback in case the newest is corrupt.
func (c *collector) dropSuperseded(newest backing.Offset) {
	fallback := backing.Offset(0)
	for _, set := range c.sets {
		if set.offset < newest && set.complete() {
			fallback = max(fallback, set.offset)
		}
	}
	for id, set := range c.sets {
		if set.offset < fallback {
			delete(c.sets, id)
		}
	}
}

// newest returns the view of the newest snapshot that is complete and intact, or
// nil if there is none.
func (c *collector) newest() *controlstate.View {
	sets := make([]*chunkSet, 0, len(c.sets))
	for _, set := range c.sets {
		sets = append(sets, set)
	}
	slices.SortFunc(sets, func(a, b *chunkSet) int { return cmp.Compare(b.offset, a.offset) })
	for _, set := range sets {
		if v, err := controlstate.Restore(set.list()); err == nil {
			return v
		}
	}
	return nil
}

// newestOffset returns the offset of the newest complete snapshot, or 0 if
// there is none.
func (c *collector) newestOffset() backing.Offset {
	newest := backing.Offset(0)
	for _, set := range c.sets {
		if set.complete() {
			newest = max(newest, set.offset)
		}
	}
	return newest
}
