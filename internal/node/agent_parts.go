package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/admit"
	"github.com/jacinthbend/jacinthbend/internal/agent"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/loadqueue"
	"github.com/jacinthbend/jacinthbend/internal/once/attempt"
	"github.com/jacinthbend/jacinthbend/internal/peerapi"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/residency"
)

// newIncarnation builds what belongs to one incarnation of an agent. The new
// account reads the engine before it gives an order.
func newIncarnation(ctx context.Context, f *fleet, m fold.Member, upstream *engine.Client, known *poison.Known, logger *zap.Logger) (*agent.Incarnation, error) {
	limiter := admit.New(m.MemberJoin, f)
	slots := loadqueue.NewClient(m.Ref(), f, f.peers.Loads(), logger)
	account := residency.New(residency.Options{
		Self: m.MemberJoin, Views: f, Slots: slots, Records: reports{f}, Orders: upstream, BootObserver: limiter, Log: logger,
	})
	attempts, err := attempt.New(m.Ref(), attempt.Limits{})
	if err != nil {
		return nil, err
	}
	tracker := poison.NewTracker(m.Ref(), known)
	reporter := poison.NewReporter(m.Ref(), tracker, known, boots{upstream}, reports{f}, notifier{fleet: f, pool: m.Pool})
	go slots.Run(ctx)
	go runAccount(ctx, f, m.Pool, account, reporter)
	return &agent.Incarnation{
		Self: m.Ref(), Limiter: limiter, Residency: account, Attempts: attempts,
		Tracker: tracker, Reporter: reporter, Life: ctx,
	}, nil
}

// reports appends an agent's records.
type reports struct {
	fleet *fleet
}

// Append implements residency.Reports.
func (r reports) Append(ctx context.Context, body record.Body) error {
	_, _, err := r.fleet.Append(ctx, body)
	return err
}

// settler gives the settle protocol the table of the present incarnation.
func settler(current func() *agent.Incarnation) func() peerapi.Settler {
	return func() peerapi.Settler {
		if inc := current(); inc != nil {
			return inc.Attempts
		}
		return nil
	}
}

// runAccount starts the account once the configuration says that the pool has
// model engines; a plain service has no memory to read back.
func runAccount(ctx context.Context, f *fleet, pool string, account *residency.Manager, reporter *poison.Reporter) {
	for ctx.Err() == nil {
		changed := f.Changed()
		if p, ok := f.View().Pools.Get(pool); ok && p.Kind == config.PoolEngine {
			provision(ctx, reporter)
			account.Run(ctx)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// provision reads the engine's boot id, without which a crash cannot be told.
// The account takes no load before, so no request reaches the engine.
func provision(ctx context.Context, reporter *poison.Reporter) {
	const retry = 200 * time.Millisecond
	for reporter.Provision(ctx) != nil && ctx.Err() == nil {
		time.Sleep(retry)
	}
}

// reporter gives the crash protocol the reporter of the present incarnation.
func reporter(current func() *agent.Incarnation) func() *poison.Reporter {
	return func() *poison.Reporter {
		if inc := current(); inc != nil {
			return inc.Reporter
		}
		return nil
	}
}
