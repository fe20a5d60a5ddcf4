package managed

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// checkpointInterval is the minimum time between two checkpoints of one
	// instance.
	checkpointInterval = 150 * time.Millisecond
	// urgentCheckpointInterval is that time while requests wait for the next one.
	urgentCheckpointInterval = 30 * time.Millisecond
	// maxCheckpointRetry is the longest pause after a checkpoint that the store did not take.
	maxCheckpointRetry = time.Second
)

func decodeCheckpoint(data []byte, c *tokenquota.Checkpoint) error {
	if err := json.Unmarshal(data, c); err != nil {
		return errors.Wrap(err, "decode quota checkpoint")
	}
	if !c.Valid() {
		return errors.New("the quota checkpoint has values that no instance writes")
	}
	return nil
}

// writeCheckpoints writes a checkpoint whenever one is due, until ctx ends. One that the store does
// not take is replaced by a newer one.
func (e *entry) writeCheckpoints(ctx context.Context) {
	// A checkpoint of this start replaces that of the one before, which has to be read first.
	select {
	case <-ctx.Done():
		return
	case <-e.quotaRestored:
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.quota.CheckpointDue():
		}
		pause := retryPause{shortest: checkpointInterval, longest: maxCheckpointRetry}
		for err := e.writeCheckpoint(ctx); err != nil && ctx.Err() == nil; err = e.writeCheckpoint(ctx) {
			delay := pause.next()
			e.logger.Warn("cannot write quota checkpoint, retrying", zap.Duration("retry_after", delay), telemetry.Err(err))
			sleep(ctx, delay)
		}
		sleep(ctx, urgentCheckpointInterval)
		if !e.quota.RecordWanted() {
			sleep(ctx, checkpointInterval-urgentCheckpointInterval)
		}
	}
}

func (e *entry) writeCheckpoint(ctx context.Context) error {
	checkpoint := e.quota.Checkpoint()
	checkpoint.Era = e.era.known()
	value, err := json.Marshal(checkpoint)
	if err == nil {
		_, err = e.store.Put(ctx, topicwatch.Spending, e.settings.Instance, value)
	}
	if err != nil {
		e.quota.NotWritten()
		return err
	}
	e.quota.Confirm(checkpoint)
	return nil
}
