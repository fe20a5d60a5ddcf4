package poison

import (
	"context"
)

// BootIDReader reads the boot id of the upstream. It changes with every start
// of the upstream.
type BootIDReader interface {
	BootID(ctx context.Context) (string, error)
}
