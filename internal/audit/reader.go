package audit

import (
	"context"
	stderrors "errors"
	"maps"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// readLimit is the maximum number of records per read.
const readLimit = 512

// readAll returns the records of a stream after the given offset. Older ones may
// have expired. The returned offset is the one after which no record is missing.
func readAll(ctx context.Context, log backing.Log, stream string, after backing.Offset) ([]backing.Record, backing.Offset, error) {
	var out []backing.Record
	completeAfter := after
	for {
		page, err := log.Read(ctx, stream, after, readLimit, 0)
		var expired *backing.ExpiredError
		if stderrors.As(err, &expired) && expired.Oldest > after+1 {
			after = expired.Oldest - 1
			completeAfter, out = after, nil
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		if len(page.Records) == 0 {
			return out, completeAfter, nil
		}
		out = append(out, page.Records...)
		after = page.Records[len(page.Records)-1].Offset
	}
}

// Read returns all retained entries, oldest first, from the pages of the audit
// stream and from the control records that are not in a page yet. version is the
// current configuration version in the view of the caller.
func Read(ctx context.Context, log backing.Log, version backing.Offset) ([]Entry, error) {
	byOffset := make(map[backing.Offset]Entry)
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
			continue // A newer release may write pages that this one cannot decode.
		}
		// An entry in a page is preferred, because its verdict usually comes from
		// package controlstate, whereas InferEntries only infers it.
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
