package managed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

const (
	// loadPause is how often an instance looks for loads to decide on; the entry
	// instances take turns of twice this time.
	loadPause = 250 * time.Millisecond
	// loadTimeout bounds a background request, which the agent answers at once.
	loadTimeout = 300 * time.Millisecond
)

// loadFromStore asks agents for the loads from the weight store that this instance
// decides on.
func (e *entry) loadFromStore(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, loadPause)
		for _, o := range e.pool.StoreLoads() {
			call, cancel := context.WithTimeout(ctx, loadTimeout)
			_, err := e.agents.Ensure(call, o.AgentAddr, agentapi.EnsureRequest{Model: o.Model, Background: true, ExpectedDemand: o.Worth})
			cancel()
			if err != nil {
				e.logger.Debug("agent did not take the request for a model", zap.String("model", o.Model), telemetry.Err(err))
				continue
			}
			e.logger.Info("load from the weight store asked for", zap.String("model", o.Model), zap.String("agent", o.AgentAddr), zap.Float64("worth", o.Worth))
		}
	}
}
