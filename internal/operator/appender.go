package operator

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Appender appends control records.
type Appender interface {
	// Append appends body as a record and waits until the record has been
	// applied to the view. It returns the result of applying the record and the
	// record's offset. An error whose Ran is errkind.RanNo means that nothing was
	// appended; after any other error the record may be in the stream.
	Append(ctx context.Context, body record.Body) (controlstate.ApplyResult, backing.Offset, error)
}
