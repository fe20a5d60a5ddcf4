package poison

import (
	"context"
)

// BootIDReader reads the boot id of the upstream. The upstream has a new boot id
// after every start.
type BootIDReader interface {
	BootID(ctx context.Context) (string, error)
}
