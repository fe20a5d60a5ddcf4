package managed

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/witness"
)

// viewWait bounds how long a start waits for the members among which its witnesses are. It takes some
// 10 ms unless both the store and the other instances fail.
const viewWait = 2 * time.Second

// members returns the known members, nil if there are none.
func (e *entry) members() map[string]fleet.Member {
	if v := e.follower.View(); v != nil {
		return v.Members
	}
	return nil
}

// reportUsage reports the quota usage of this start to its witnesses until ctx ends. Before, what
// earlier starts reported has to be read.
func (e *entry) reportUsage(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.witnessesRead:
		e.reporter.Run(ctx)
	}
}

// holdShares keeps all shares back until this start is known to the witnesses, or no later start can
// find a record of an earlier one in time. No earlier start of this instance runs any more, since it
// would hold the ports.
func (e *entry) holdShares() {
	if e.settings.FirstStart {
		return
	}
	e.began = witness.BootTime()
	e.quota.HoldUntil(e.began + witness.Lease)
}

// resumeFromWitnesses reads what earlier starts used of the token quotas from their witnesses. It
// reports whether nothing has to be read from the store.
func (e *entry) resumeFromWitnesses(ctx context.Context) bool {
	defer close(e.witnessesRead)
	for deadline := time.Now().Add(viewWait); !e.quota.Configured() && time.Now().Before(deadline) && ctx.Err() == nil; {
		sleep(ctx, readyPollInterval)
	}
	found := e.reporter.Resume(ctx, e.began)
	applied := e.quota.ResumeWitnessed(found)
	e.metrics.GetOrCreateCounter(fmt.Sprintf("jacinthbend_witness_starts_total{known=%q}", fmt.Sprint(applied))).Inc()
	e.logger.Info("asked witnesses for the quota usage of earlier starts", zap.Bool("known", found.Known), zap.Bool("applied", applied), zap.String("reason", found.Reason),
		zap.Duration("age", found.Age), zap.Int("earlier_starts", len(found.Starts)), zap.Int("teams", len(found.Quota.Teams)))
	return applied
}
