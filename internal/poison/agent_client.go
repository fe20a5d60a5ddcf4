package poison

import (
	"context"
)

// AgentClient calls agents by instance id, whatever their current incarnation.
type AgentClient interface {
	BootStatus(ctx context.Context, instance string) (BootStatus, error)
}
