package streamorigin

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

// Log keeps the records of all instances for a while. It outlasts them.
type Log interface {
	Append(ctx context.Context, value []byte) error
	// Read returns all records that are still kept from a position on. The page is in another
	// era if the log has come back from a copy; it then has all records that are kept.
	Read(ctx context.Context, from topicwatch.Position) (topicwatch.Page, error)
}
