package managed

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/witness"
)

// viewWait bounds how long a start waits for the members among which its witnesses are, and again once
// the store answers. It takes some 10 ms unless the store fails.
const viewWait = 2 * time.Second

// waitConfigured waits until the teams and the members are known, for at most viewWait.
func (e *entry) waitConfigured(ctx context.Context) bool {
	for deadline := time.Now().Add(viewWait); ctx.Err() == nil && time.Now().Before(deadline); {
		if e.quota.Configured() {
			return true
		}
		sleep(ctx, readyPollInterval)
	}
	return false
}

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
	found := e.reporter.Resume(ctx, e.began)
	applied := e.quota.ResumeWitnessed(found)
	e.metrics.GetOrCreateCounter(fmt.Sprintf("jacinthbend_witness_starts_total{known=%q}", fmt.Sprint(applied))).Inc()
	e.logger.Info("asked witnesses for the quota usage of earlier starts", zap.Bool("known", found.Known), zap.Bool("applied", applied), zap.String("reason", found.Reason),
		zap.Duration("age", found.Age), zap.Int("earlier_starts", len(found.Starts)), zap.Int("teams", len(found.Quota.Teams)))
	return applied
}
