package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/admit"
	"github.com/jacinthbend/jacinthbend/internal/agent"
	"github.com/jacinthbend/jacinthbend/internal/atmostonce/attempt"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/loadqueue"
	"github.com/jacinthbend/jacinthbend/internal/peerapi"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/residency"
)

// newAgentIncarnation builds the components that live as long as one
// incarnation of an agent, and starts their background work, which ends with
// ctx. The new residency manager reads which checkpoints the engine has loaded
// before it tells the engine to load any.
func newAgentIncarnation(ctx context.Context, f *fleet, m controlstate.Member, upstream *engine.Client, crashTable *poison.CrashTable, logger *zap.Logger) (*agent.Incarnation, error) {
	limiter := admit.New(m.MemberJoin, f)
	loadSlots := loadqueue.NewClient(m.Ref(), f, f.peers.Loads(), logger)
	residencyManager := residency.New(residency.Options{
		Self: m.MemberJoin, Views: f, Slots: loadSlots, Records: recordAppender{f}, Orders: upstream, BootObserver: limiter, Log: logger,
	})
	attempts, err := attempt.New(m.Ref(), attempt.Limits{})
	if err != nil {
		return nil, err
	}
	tracker := poison.NewTracker(m.Ref(), crashTable)
	reporter := poison.NewReporter(m.Ref(), tracker, crashTable, bootIDReader{upstream}, recordAppender{f}, crashNotifier{fleet: f, pool: m.Pool})
	go loadSlots.Run(ctx)
	go runResidency(ctx, f, m.Pool, residencyManager, reporter)
	return &agent.Incarnation{
		Self: m.Ref(), Limiter: limiter, Residency: residencyManager, Attempts: attempts,
		Tracker: tracker, Reporter: reporter, Context: ctx,
	}, nil
}

// recordAppender appends records to the control stream for components that need
// neither the verdict nor the offset.
type recordAppender struct {
	fleet *fleet
}

// Append appends body to the control stream. It implements
// residency.RecordAppender, poison.Appender and assignment.Appender.
func (r recordAppender) Append(ctx context.Context, body record.Body) error {
	_, _, err := r.fleet.Append(ctx, body)
	return err
}

// currentAttempts returns a function that returns the attempt table of the
// current incarnation, or nil before the agent has joined. The handler of settle
// requests uses it.
func currentAttempts(current func() *agent.Incarnation) func() peerapi.Settler {
	return func() peerapi.Settler {
		if inc := current(); inc != nil {
			return inc.Attempts
		}
		return nil
	}
}

// runResidency runs the residency manager as soon as the configuration says
// that the pool has model engines. It never starts the manager for a plain
// service, which loads no models.
func runResidency(ctx context.Context, f *fleet, pool string, residencyManager *residency.Manager, reporter *poison.Reporter) {
	for ctx.Err() == nil {
		changed := f.Changed()
		if p, ok := f.View().Pools.Get(pool); ok && p.Kind == config.PoolEngine {
			readBootID(ctx, reporter)
			residencyManager.Run(ctx)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// readBootID retries until reporter has read the engine's boot id, without
// which the reporter cannot detect a crash. The residency manager loads no
// checkpoint before readBootID has returned, so no request reaches the engine
// before then.
func readBootID(ctx context.Context, reporter *poison.Reporter) {
	const retryInterval = 200 * time.Millisecond
	for reporter.Init(ctx) != nil && ctx.Err() == nil {
		time.Sleep(retryInterval)
	}
}

// currentReporter returns a function that returns the crash reporter of the
// current incarnation, or nil before the agent has joined.
func currentReporter(current func() *agent.Incarnation) func() *poison.Reporter {
	return func() *poison.Reporter {
		if inc := current(); inc != nil {
			return inc.Reporter
		}
		return nil
	}
}
