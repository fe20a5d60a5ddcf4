package poison

import (
	"context"
)

// Notifier sends crash notices directly to other instances, without the log: at
// least to the entry instances and to the agents of the same pool. Notify does
// not wait for slow instances.
type Notifier interface {
	Notify(ctx context.Context, n CrashNotice)
}
