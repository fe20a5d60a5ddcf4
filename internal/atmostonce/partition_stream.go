package atmostonce

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// pageRecords is the maximum number of records in one read.
const pageRecords = 1000

// partitionStream reads and appends to the log stream of one partition.
type partitionStream struct {
	log    backing.Log
	stream string
	opts   Options
	hooks  *hooks
	// window returns the current idempotency window.
	window func() time.Duration
}

// load rebuilds the partition state from the records and snapshots that the
// stream still holds. If records expired before a snapshot covered them, the
// state is unknown for every key created up to now + 2 * MaxClockSkew. All lost
// records were appended before now. One MaxClockSkew allows for a key that was
// ahead of the clock of the instance that accepted it, the other for that clock
// being ahead of this one.
func (s *partitionStream) load(ctx context.Context) (*PartitionState, error) {
	s.hooks.reach(StepWriterLoad)
	state := NewPartitionState()
	state.hooks = s.hooks
	err := s.catchUp(ctx, state, nil)
	var expired *backing.ExpiredError
	if !errors.As(err, &expired) {
		return state, err
	}
	oldest := max(expired.Oldest, 1)
	found, err := s.readSnapshots(ctx, oldest-1)
	if err != nil {
		return nil, err
	}
	state = found.best(oldest)
	if state == nil {
		state = NewPartitionState()
		state.offset = oldest - 1
		state.lostUntilMS = time.Now().Add(2 * s.opts.MaxClockSkew).UnixMilli()
	}
	state.hooks = s.hooks
	return state, s.catchUp(ctx, state, nil)
}

func (s *partitionStream) readSnapshots(ctx context.Context, after backing.Offset) (snapshots, error) {
	found := make(snapshots)
	err := s.forEachRecord(ctx, after, func(r backing.Record) {
		var rec Record
		if err := json.Unmarshal(r.Data, &rec); err == nil && rec.Kind == RecordSnapshot {
			found.add(rec.Snapshot)
		}
	})
	return found, err
}

// catchUp applies the records up to the end of the stream that the first read
// reports, and calls onRecord for each.
func (s *partitionStream) catchUp(ctx context.Context, state *PartitionState, onRecord func(Record)) error {
	return s.forEachRecord(ctx, state.offset, func(r backing.Record) {
		rec := state.ApplyRecord(r)
		if onRecord != nil {
			onRecord(rec)
		}
	})
}

func (s *partitionStream) forEachRecord(ctx context.Context, after backing.Offset, apply func(backing.Record)) error {
	var end backing.Offset
	for {
		page, err := s.read(ctx, after)
		if err != nil {
			return errors.Wrapf(err, "read stream %s after offset %d", s.stream, after)
		}
		if end == 0 {
			end = page.End
		}
		for _, r := range page.Records {
			apply(r)
			after = r.Offset
		}
		if len(page.Records) == 0 || after >= end {
			return nil
		}
	}
}

func (s *partitionStream) read(ctx context.Context, after backing.Offset) (backing.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.LogTimeout)
	defer cancel()
	return s.log.Read(ctx, s.stream, after, pageRecords, 0)
}

func (s *partitionStream) append(ctx context.Context, entries []json.RawMessage) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.LogTimeout)
	defer cancel()
	_, err := s.log.Append(ctx, s.stream, entries)
	return errors.Wrapf(err, "append to stream %s", s.stream)
}
