package command

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// unreachableLog is the platform.Log that newLog returns if it cannot create a
// client. All its calls fail with ErrUnavailable and the cause.
type unreachableLog struct {
	cause error
}

// Append implements platform.Log.
func (l unreachableLog) Append(context.Context, string, []json.RawMessage) (platform.Offset, error) {
	return 0, l.err()
}

// Read implements platform.Log.
func (l unreachableLog) Read(context.Context, string, platform.Offset, int, time.Duration) (platform.Page, error) {
	return platform.Page{}, l.err()
}

func (l unreachableLog) err() error { return fmt.Errorf("%w: %w", platform.ErrUnavailable, l.cause) }
