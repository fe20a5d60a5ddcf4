// Package backing defines the interfaces to the platform's services: the
// append-only log, the instance list and the weight store. Package httpapi has
// the HTTP clients that implement them.
package backing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Offset is a position in a stream. The first record has offset 1; 0 means
// that nothing has been read.
type Offset uint64

// Record is one entry of a stream.
type Record struct {
	Offset Offset          `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Page is the result of a read.
type Page struct {
	Records []Record `json:"records"`
	// End is the offset of the newest record of the stream, 0 if it is empty.
	End Offset `json:"end"`
	// Oldest is the offset of the oldest retained record, 0 if there is none.
	Oldest Offset `json:"oldest"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds the entries in order as consecutive records and returns the
	// offset of the first. After an error other than ErrRejected the append may
	// still have taken effect.
	Append(ctx context.Context, stream string, entries []json.RawMessage) (Offset, error)
	// Read returns up to limit records after the offset `after`. If there is none
	// yet, it waits up to wait for one. It returns an *ExpiredError if records
	// after `after` are no longer retained.
	Read(ctx context.Context, stream string, after Offset, limit int, wait time.Duration) (Page, error)
}

// ErrUnavailable means that the log did not respond or refused the call.
var ErrUnavailable = errors.New("platform log unavailable")

// ErrRejected means that the log refused an append and did not apply it.
var ErrRejected = errors.New("platform log rejected the append")

// ExpiredError means that requested records are no longer retained.
type ExpiredError struct {
	Stream string
	After  Offset
	Oldest Offset
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("stream %q: records after offset %d have expired; the oldest retained offset is %d", e.Stream, e.After, e.Oldest)
}
