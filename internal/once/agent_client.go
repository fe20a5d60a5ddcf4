package once

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/fold"
)

// AgentClient sends requests to agents.
type AgentClient interface {
	Settle(ctx context.Context, to fold.Member, req SettleRequest) (SettleResponse, error)
}
