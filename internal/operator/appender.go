package operator

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Appender appends control records.
type Appender interface {
	// Append appends body and returns the verdict of the fold and the offset of
	// the record, after the record has been folded into the view. An error of
	// a kind whose answer is errkind.RanNo means that nothing was appended;
	// after any other error the record may be in the stream.
	Append(ctx context.Context, body record.Body) (fold.ApplyResult, platform.Offset, error)
}
