package managed

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

const (
	// storeLoadInterval is how often an instance checks which loads it should
	// request. The entry instances take turns in time slots of twice this length.
	storeLoadInterval = 250 * time.Millisecond
	// storeLoadTimeout bounds the calls for one load. The agents respond to them
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
			e.requestStoreLoad(callCtx, load)
			cancel()
		}
	}
}

// requestStoreLoad asks one agent after the other until one begins the load.
func (e *entry) requestStoreLoad(ctx context.Context, load upstream.StoreLoad) {
	declined := make(map[string]int)
	for i, agent := range load.Agents {
		resp, err := e.agentClient.Ensure(ctx, agent, agentapi.EnsureRequest{Model: load.Model, Background: true, FromStore: true, ExpectedDemand: load.Demand})
		switch {
		case err != nil:
			e.logger.Debug("agent did not answer the load request", zap.String("model", load.Model), telemetry.Err(err))
		case resp.Reason != "":
			declined[resp.Reason]++
			e.metrics.GetOrCreateCounter(fmt.Sprintf("jacinthbend_store_loads_declined_total{reason=%q}", resp.Reason)).Inc()
		default:
			e.metrics.GetOrCreateCounter("jacinthbend_store_loads_begun_total").Inc()
			e.logger.Info("requested load from the weight store", zap.String("model", load.Model), zap.String("agent", agent),
				zap.Float64("worth", load.Demand), zap.Int("declined", i))
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	e.logger.Info("no engine can begin a load from the weight store now", zap.String("model", load.Model), zap.Any("declined", declined))
}
