package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/waitpolicy"
)

// loadResult is the outcome of a load that a request needs.
type loadResult int

const (
	loaded loadResult = iota
	// notLoaded means that another engine can be tried.
	notLoaded
	// loadTooSlow means that the load would take too long and the request has been
	// answered with an error.
	loadTooSlow
)

// loadModel asks the agent of the chosen engine to load the model or adapter and
// waits for the result.
func (r *request) loadModel(ctx context.Context, choice *upstream.Choice) loadResult {
	if choice.AgentAddr == "" {
		return notLoaded
	}
	d := waitpolicy.Decide(time.Now(), r.waiting(), waitpolicy.Load, choice.LoadTime)
	if d.Wait == 0 {
		r.fail("the model cannot be loaded in time", choice.LoadTime)
		return loadTooSlow
	}
	start := time.Now()
	defer func() { r.loadWait += time.Since(start) }()
	detector := r.newLoadStallDetector(ctx, choice.Upstream.ID)
	defer detector.stop()
	resp, err := r.g.Loader.Ensure(detector.ctx, choice.AgentAddr, agentapi.EnsureRequest{
		Model: r.query.Model, Adapter: r.query.Adapter, WaitMS: d.Wait.Milliseconds(),
	})
	if err != nil {
		if ctx.Err() == nil {
			r.g.Logger.Warn("agent failed to load the model", r.requestIDField(), zap.String("upstream", choice.Upstream.ID),
				zap.String("model", r.query.Name()), telemetry.Err(err))
		}
		return notLoaded
	}
	if resp.Loaded {
		r.g.Pool.MarkLoaded(choice.Upstream.ID, r.query.Model, r.query.Adapter)
		r.g.Logger.Debug("model loaded for request", r.requestIDField(), zap.String("upstream", choice.Upstream.ID),
			zap.String("model", r.query.Name()), zap.Duration("waited", time.Since(start)))
		return loaded
	}
	if after := time.Duration(resp.ReadyInMS) * time.Millisecond; after > r.remaining() {
		r.fail("the model cannot be loaded in time: "+resp.Reason, after)
		return loadTooSlow
	}
	return notLoaded
}

// requestReplica asks an agent to load another copy of a model whose engines are
// slow. The request does not wait for it.
func (r *request) requestReplica(replica *upstream.Choice) {
	if replica == nil || replica.AgentAddr == "" {
		return
	}
	g, model, demand := r.g, r.query.Model, replica.Demand
	id := r.requestIDField()
	background.Go(g.Logger, "request replica", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := g.Loader.Ensure(ctx, replica.AgentAddr, agentapi.EnsureRequest{Model: model, Background: true, ExpectedDemand: demand})
		if err != nil {
			g.Logger.Warn("agent did not accept the request for a replica", id, zap.String("model", model), telemetry.Err(err))
		}
	})
}
