package duty

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

// Log is the partition of the platform's log that holds claims and reports.
type Log interface {
	// Append writes a record if the log ends at offset at, and returns topicwatch.ErrEndMoved
	// otherwise. After another error the record may have been written or may be written later.
	Append(ctx context.Context, key string, value []byte, at int64) (topicwatch.Position, error)
	// List returns the newest record of each key.
	List(ctx context.Context) (topicwatch.Page, error)
	// Read returns the records from a position on. It returns topicwatch.ErrExpired if the log
	// does not have some of them.
	Read(ctx context.Context, from topicwatch.Position) (topicwatch.Page, error)
}
