package command

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// unreachableLog is the backing.Log that newLog returns if it cannot create a
// client. All its calls fail with ErrUnavailable and the cause.
type unreachableLog struct {
	cause error
}

// Append implements backing.Log.
func (l unreachableLog) Append(context.Context, string, []json.RawMessage) (backing.Offset, error) {
	return 0, l.err()
}

// Read implements backing.Log.
func (l unreachableLog) Read(context.Context, string, backing.Offset, int, time.Duration) (backing.Page, error) {
	return backing.Page{}, l.err()
}

func (l unreachableLog) err() error { return fmt.Errorf("%w: %w", backing.ErrUnavailable, l.cause) }
