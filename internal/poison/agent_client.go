package poison

import (
	"context"
)

// AgentClient reaches the agent of an instance, whatever its incarnation.
type AgentClient interface {
	BootStatus(ctx context.Context, instance string) (BootStatus, error)
}
