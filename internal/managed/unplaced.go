package managed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

const (
	// unplacedPause is how often models that only the weight store has are looked
	// for; the entry instances take turns of twice this time.
	unplacedPause = 250 * time.Millisecond
	// unplacedTimeout bounds a background request, which the agent answers at once.
	unplacedTimeout = 300 * time.Millisecond
)

// loadUnplaced has models loaded that only the weight store has.
func (e *entry) loadUnplaced(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, unplacedPause)
		for _, o := range e.pool.Unplaced() {
			call, cancel := context.WithTimeout(ctx, unplacedTimeout)
			_, err := e.agents.Ensure(call, o.AgentAddr, agentapi.EnsureRequest{Model: o.Model, Background: true, Worth: o.Worth})
			cancel()
			if err != nil {
				e.logger.Debug("agent did not take the request for a model", zap.String("model", o.Model), telemetry.Err(err))
				continue
			}
			e.logger.Info("model without a copy asked for", zap.String("model", o.Model), zap.String("agent", o.AgentAddr), zap.Float64("worth", o.Worth))
		}
	}
}
