package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// loadResult is how an agent's load ended for a request.
type loadResult int

const (
	loaded loadResult = iota
	// notLoaded means that another engine can be tried.
	notLoaded
	// tooLate means that the request was given up.
	tooLate
)

// load has the model or adapter loaded at the chosen engine.
func (x *call) load(ctx context.Context, choice *upstream.Choice) loadResult {
	if choice.AgentAddr == "" {
		return notLoaded
	}
	most := x.loadLeft()
	if choice.LoadTime > most {
		x.giveUp("the model cannot be loaded in time", choice.LoadTime)
		return tooLate
	}
	start := time.Now()
	defer func() { x.loadWait += time.Since(start) }()
	w := x.newLoadWatch(ctx, choice.Upstream.ID)
	defer w.stop()
	resp, err := x.g.Loader.Ensure(w.ctx, choice.AgentAddr, agentapi.EnsureRequest{
		Model: x.query.Model, Adapter: x.query.Adapter, WaitMS: most.Milliseconds(),
	})
	if err != nil {
		if ctx.Err() == nil {
			x.g.Logger.Warn("agent did not load", x.idField(), zap.String("upstream", choice.Upstream.ID),
				zap.String("model", x.query.Name()), telemetry.Err(err))
		}
		return notLoaded
	}
	if resp.Loaded {
		x.g.Pool.Loaded(choice.Upstream.ID, x.query.Model, x.query.Adapter)
		x.g.Logger.Debug("model loaded for request", x.idField(), zap.String("upstream", choice.Upstream.ID),
			zap.String("model", x.query.Name()), zap.Duration("waited", time.Since(start)))
		return loaded
	}
	if after := time.Duration(resp.ReadyInMS) * time.Millisecond; after > x.left() {
		x.giveUp("the model cannot be loaded in time: "+resp.Reason, after)
		return tooLate
	}
	return notLoaded
}

// wantReplica asks for another copy of a model whose engines are slow. The
// request does not wait for it.
func (x *call) wantReplica(r *upstream.Choice) {
	if r == nil || r.AgentAddr == "" {
		return
	}
	g, model, worth := x.g, x.query.Model, r.Worth
	id := x.idField()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := g.Loader.Ensure(ctx, r.AgentAddr, agentapi.EnsureRequest{Model: model, Background: true, ExpectedDemand: worth})
		if err != nil {
			g.Logger.Warn("agent did not take the request for a copy", id, zap.String("model", model), telemetry.Err(err))
		}
	}()
}
