// Package engineagent implements the agent that runs beside a model engine. The
// agent is the only process that sends the engine orders to load and unload
// models and adapters, so orders never conflict. It also reports to entry
// instances which models and adapters the engine holds.
package engineagent

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Engine is the API of the model engine.
type Engine interface {
	Report(ctx context.Context) (fleet.EngineReport, error)
	// Identify returns the id of the current engine instance.
	Identify(ctx context.Context, healthPath string) (string, error)
	Order(ctx context.Context, o fleet.Order) (fleet.OrderResult, error)
}

// CacheEventSource is the part of an engine's API by which it tells what it has cached.
type CacheEventSource interface {
	// CacheEvents returns the changes after a position, "" for all that the engine retains. It
	// may wait for some. An error means that no answer came.
	CacheEvents(ctx context.Context, since string) (fleet.CacheEvents, error)
}
