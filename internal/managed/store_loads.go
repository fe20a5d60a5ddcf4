package managed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

const (
	// storeLoadInterval is how often an instance checks which loads it should
	// request. The entry instances take turns in time slots of twice this length.
	storeLoadInterval = 250 * time.Millisecond
	// storeLoadTimeout bounds a background request. The agent responds to it
	// immediately.
	storeLoadTimeout = 300 * time.Millisecond
)

// requestStoreLoads asks agents to load the models that this instance has
// selected for loading from the weight store.
func (e *entry) requestStoreLoads(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, storeLoadInterval)
		for _, load := range e.pool.StoreLoads() {
			callCtx, cancel := context.WithTimeout(ctx, storeLoadTimeout)
			_, err := e.agentClient.Ensure(callCtx, load.AgentAddr, agentapi.EnsureRequest{Model: load.Model, Background: true, ExpectedDemand: load.Demand})
			cancel()
			if err != nil {
				e.logger.Debug("agent did not accept the load request", zap.String("model", load.Model), telemetry.Err(err))
				continue
			}
			e.logger.Info("requested load from the weight store", zap.String("model", load.Model), zap.String("agent", load.AgentAddr), zap.Float64("worth", load.Demand))
		}
	}
}
