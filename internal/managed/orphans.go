package managed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

const (
	// orphanPause is how often models that only the weight store has are looked for.
	orphanPause = time.Second
	// orphanWorth makes such a load displace only models that are hardly asked for.
	orphanWorth = 0.5
	// orphanTimeout bounds a wish, which the agent answers at once.
	orphanTimeout = 300 * time.Millisecond
)

// adoptOrphans has models loaded that only the weight store has. All entry
// instances ask the same engine, and the agent loads once.
func (e *entry) adoptOrphans(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, orphanPause)
		for _, o := range e.pool.Orphans() {
			call, cancel := context.WithTimeout(ctx, orphanTimeout)
			_, err := e.agents.Ensure(call, o.AgentAddr, agentapi.EnsureRequest{Model: o.Model, Background: true, Worth: orphanWorth})
			cancel()
			if err != nil {
				e.logger.Debug("agent did not take the wish for a model", zap.String("model", o.Model), telemetry.Err(err))
				continue
			}
			e.logger.Info("model without a copy asked for", zap.String("model", o.Model), zap.String("agent", o.AgentAddr))
		}
	}
}
