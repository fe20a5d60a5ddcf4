// Package engineagent is the process beside a model engine. It alone gives the
// engine orders, so two processes never order it against each other, and it
// tells entry instances what the engine holds.
package engineagent

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Engine is the model engine beside the agent.
type Engine interface {
	Report(ctx context.Context) (fleet.EngineReport, error)
	// Identify returns the id of the engine's present start.
	Identify(ctx context.Context, healthPath string) (string, error)
	Order(ctx context.Context, o fleet.Order) (fleet.OrderResult, error)
}
