package audit

import (
	"context"
	stderrors "errors"
	"maps"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// readRecords is the most records per read.
const readRecords = 512

// readAll returns the kept records of a stream after the offset, and the
// offset after which they are complete.
func readAll(ctx context.Context, log platform.Log, stream string, after platform.Offset) ([]platform.Record, platform.Offset, error) {
	var out []platform.Record
	from := after
	for {
		page, err := log.Read(ctx, stream, after, readRecords, 0)
		var expired *platform.ExpiredError
		if stderrors.As(err, &expired) && expired.Oldest > after+1 {
			after = expired.Oldest - 1
			from, out = after, nil
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		if len(page.Records) == 0 {
			return out, from, nil
		}
		out = append(out, page.Records...)
		after = page.Records[len(page.Records)-1].Offset
	}
}

// Read returns every kept entry, oldest first: the pages of the audit stream
// and the control records that are not paged yet. The version is the one in
// force now, as the reader's view of the control stream has it.
func Read(ctx context.Context, log platform.Log, version platform.Offset) ([]Entry, error) {
	byOffset := make(map[platform.Offset]Entry)
	control, _, err := readAll(ctx, log, record.ControlStream, 0)
	if err != nil {
		return nil, err
	}
	for _, e := range InferEntries(control, version) {
		byOffset[e.Offset] = e
	}
	pages, _, err := readAll(ctx, log, Stream, 0)
	if err != nil {
		return nil, err
	}
	for _, r := range pages {
		page, err := decodePage(r.Data)
		if err != nil {
			continue // A later version may write pages that this one cannot read.
		}
		// A paged entry has the verdict of the fold itself.
		for _, e := range page.Entries {
			byOffset[e.Offset] = e
		}
	}
	out := make([]Entry, 0, len(byOffset))
	for _, offset := range slices.Sorted(maps.Keys(byOffset)) {
		out = append(out, byOffset[offset])
	}
	return out, nil
}
