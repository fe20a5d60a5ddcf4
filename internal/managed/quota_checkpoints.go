package managed

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

// checkpointInterval is the minimum time between two checkpoints of one
// instance.
const checkpointInterval = 150 * time.Millisecond

const (
	// restoreTimeout bounds the first attempt to read the quota usage of earlier
	// starts. Each further attempt has twice the time of the one before. The first
	// is short because the machine's network may come up after its processes: a
	// call lost in that period delays the start by the whole timeout.
	restoreTimeout    = 150 * time.Millisecond
	restoreRetryDelay = 50 * time.Millisecond
)

// restoreQuotaUsage reads what earlier starts of this instance used of the
// token quotas. It retries until the store responds, because without the store
// there is no configuration either.
func (e *entry) restoreQuotaUsage(ctx context.Context) {
	if e.settings.FirstStart {
		return
	}
	for timeout := restoreTimeout; ctx.Err() == nil; timeout *= 2 {
		tryCtx, cancel := context.WithTimeout(ctx, timeout)
		start, checkpoint, err := e.readCheckpoint(tryCtx)
		cancel()
		if err == nil {
			e.quota.Resume(start, checkpoint)
			e.logger.Info("restored quota usage of earlier starts", zap.Bool("joined", start == tokenquota.Joined), zap.Bool("checkpoint_lost", start == tokenquota.CheckpointLost), zap.Int("busy_teams", len(checkpoint.Spent)))
			return
		}
		e.logger.Warn("cannot read quota usage of earlier starts, retrying", telemetry.Err(err))
		sleep(ctx, restoreRetryDelay)
	}
}

func (e *entry) readCheckpoint(ctx context.Context) (tokenquota.StartKind, tokenquota.Checkpoint, error) {
	var checkpoint tokenquota.Checkpoint
	members, err := e.store.List(ctx, topicwatch.Members)
	if err != nil {
		return 0, checkpoint, err
	}
	start := tokenquota.Joined
	for _, item := range members.Items {
		if item.Key == e.settings.Instance {
			start = tokenquota.Restart
		}
	}
	checkpoints, err := e.store.List(ctx, topicwatch.Spending)
	if err != nil {
		return 0, checkpoint, err
	}
	for _, item := range checkpoints.Items {
		if item.Key != e.settings.Instance {
			continue
		}
		if err := decodeCheckpoint(item.Value, &checkpoint); err != nil {
			e.logger.Warn("ignoring quota checkpoint that cannot be decoded", zap.Int64("offset", item.Offset), telemetry.Err(err))
			return tokenquota.Joined, tokenquota.Checkpoint{}, nil
		}
		if checkpoint.Era > 0 && checkpoint.Era < checkpoints.Era {
			return tokenquota.CheckpointLost, checkpoint, nil
		}
	}
	return start, checkpoint, nil
}

func decodeCheckpoint(data []byte, c *tokenquota.Checkpoint) error {
	if err := json.Unmarshal(data, c); err != nil {
		return errors.Wrap(err, "decode quota checkpoint")
	}
	if !c.Valid() {
		return errors.New("the quota checkpoint has values that no instance writes")
	}
	return nil
}

// writeCheckpoints writes a checkpoint whenever one is due. While the store does
// not respond, requests are still served without checkpoints. If the instance
// restarts in that time, a busy team may use up to half of its quota twice.
func (e *entry) writeCheckpoints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.quota.CheckpointDue():
		}
		checkpoint := e.quota.Checkpoint()
		checkpoint.Era = e.era.known()
		value, err := json.Marshal(checkpoint)
		if err == nil {
			_, err = e.store.Put(ctx, topicwatch.Spending, e.settings.Instance, value)
		}
		if err != nil {
			e.logger.Warn("cannot write quota checkpoint", telemetry.Err(err))
		}
		sleep(ctx, checkpointInterval)
	}
}
