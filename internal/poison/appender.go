package poison

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Appender appends records to the control stream. A record may have been
// appended even if Append returns an error. Callers may append a crash report
// again, because reports with the same crash id count once.
type Appender interface {
	Append(ctx context.Context, body record.Body) error
}
