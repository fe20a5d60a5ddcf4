package relay

import "github.com/jacinthbend/jacinthbend/internal/backing"

// Limits of the record buffer. A child that has fallen behind the oldest
// buffered record fetches a snapshot instead. At an average of one record per
// second, 4,096 records cover more than an hour.
const (
	// DefaultBufferRecords is the default of Config.BufferRecords.
	DefaultBufferRecords = 4096
	maxBufferBytes       = 4 << 20
)

// buffer holds the most recent records, without gaps, for serving to children.
type buffer struct {
	records    []backing.Record
	bytes      int
	maxRecords int
}

// add appends rec, which must directly follow the newest buffered record, and
// evicts the oldest records beyond the limits.
func (b *buffer) add(rec backing.Record) {
	b.records = append(b.records, rec)
	b.bytes += len(rec.Data)
	for len(b.records) > b.maxRecords || b.bytes > maxBufferBytes {
		b.bytes -= len(b.records[0].Data)
		b.records[0] = backing.Record{}
		b.records = b.records[1:]
	}
}

func (b *buffer) clear() { *b = buffer{maxRecords: b.maxRecords} }

// after returns up to limit records that follow offset from. newest is the
// offset of the view and, unless the buffer is empty, of the newest buffered
// record. after returns false if the first requested record is no longer in the
// buffer.
func (b *buffer) after(from, newest backing.Offset, limit int) ([]backing.Record, bool) {
	if from >= newest {
		return nil, true
	}
	missing := int(newest - from)
	if missing > len(b.records) {
		return nil, false
	}
	start := len(b.records) - missing
	end := min(len(b.records), start+limit)
	return append([]backing.Record(nil), b.records[start:end]...), true
}
