package once

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/fold"
)

// AgentPeer reaches agents.
type AgentPeer interface {
	Settle(ctx context.Context, to fold.Member, req SettleRequest) (SettleResponse, error)
}
