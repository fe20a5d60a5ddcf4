// Package snapshot stores snapshots of the view in the platform log, so that an
// instance can start even if older records of the control stream have expired
// (F17).
package snapshot

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// Stream is the name of the stream that holds the snapshot chunks.
const Stream = "snapshots"

// chunksPerRead is the number of chunks per read, about 5 MiB.
const chunksPerRead = 64

// Newest returns the newest complete and intact snapshot in the log, or nil if
// there is none. It skips incomplete snapshots, which a writer leaves behind if
// it is killed.
func Newest(ctx context.Context, log backing.Log) (*controlstate.View, error) {
	c := newCollector()
	if err := c.readToEnd(ctx, log); err != nil {
		return nil, err
	}
	return c.newest(), nil
}
