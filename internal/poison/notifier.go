package poison

import (
	"context"
)

// Notifier tells the other instances of a crash without the log: at least the
// entry instances and the agents of the same pool. Notify does not wait for
// instances that are slow to answer.
type Notifier interface {
	Notify(ctx context.Context, n CrashNotice)
}
