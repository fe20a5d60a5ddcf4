package relay

import "github.com/jacinthbend/jacinthbend/internal/platform"

// Bounds of the record buffer. A child that is further behind takes a
// snapshot. At one record a second on average 4,096 records cover an hour.
const (
	// DefaultBufferRecords is the default of Config.DefaultBufferRecords.
	DefaultBufferRecords = 4096
	bufferBytes   = 4 << 20
)

// buffer keeps the newest records, without gaps, for children.
type buffer struct {
	records []platform.Record
	bytes   int
	limit   int
}

// add appends the record that follows the newest one.
func (b *buffer) add(rec platform.Record) {
	b.records = append(b.records, rec)
	b.bytes += len(rec.Data)
	for len(b.records) > b.limit || b.bytes > bufferBytes {
		b.bytes -= len(b.records[0].Data)
		b.records[0] = platform.Record{}
		b.records = b.records[1:]
	}
}

func (b *buffer) clear() { *b = buffer{limit: b.limit} }

// after returns up to limit records after the offset, and false when the first
// of them is not kept any more. The newest offset is own.
func (b *buffer) after(from, own platform.Offset, limit int) ([]platform.Record, bool) {
	if from >= own {
		return nil, true
	}
	missing := int(own - from)
	if missing > len(b.records) {
		return nil, false
	}
	start := len(b.records) - missing
	end := min(len(b.records), start+limit)
	return append([]platform.Record(nil), b.records[start:end]...), true
}
