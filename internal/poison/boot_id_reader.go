package poison

import (
	"context"
)

// BootIDReader reads the boot id of the upstream, which changes with every start.
type BootIDReader interface {
	BootID(ctx context.Context) (string, error)
}
