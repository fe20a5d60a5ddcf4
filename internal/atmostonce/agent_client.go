package atmostonce

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// AgentClient sends requests to agents.
type AgentClient interface {
	Settle(ctx context.Context, to controlstate.Member, req SettleRequest) (SettleResponse, error)
}
