package managed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

const (
	// restoreTimeout bounds the first attempt to read the quota usage of earlier starts. It is
	// short because the machine's network may come up after its processes: a call lost in that
	// period delays the start by the whole timeout. Each further attempt has twice the time of
	// the one before, up to maxRestoreTimeout, which is enough for a store that is slow.
	restoreTimeout    = 150 * time.Millisecond
	maxRestoreTimeout = 2 * time.Second
	// The pauses between attempts. With the longest, 1,600 starting instances make 1,100 calls a
	// second, of the 2,000 that a store allows.
	restoreRetryDelay    = 50 * time.Millisecond
	maxRestoreRetryDelay = 2 * time.Second
	// quotaReadyWait bounds how long an instance that could be ready waits for the quota usage of
	// earlier starts. The store may answer for some topics only.
	quotaReadyWait = time.Second
)

// restoreQuotaUsage reads what earlier starts of this instance used of the token quotas, from their
// witnesses or else from the store. It retries until the store responds or ctx ends. Until then the limiter counts all of this
// instance's shares as spent.
func (e *entry) restoreQuotaUsage(ctx context.Context) {
	defer close(e.quotaRestored)
	if e.settings.FirstStart {
		close(e.witnessesRead)
		return
	}
	var start tokenquota.StartKind
	var checkpoint tokenquota.Checkpoint
	readStore := func() {
		readUntilAnswered(ctx, e.logger, func(ctx context.Context) (err error) {
			start, checkpoint, err = e.readCheckpoint(ctx)
			return err
		})
	}
	configured := e.waitConfigured(ctx)
	if !configured {
		// The store is out, and only it tells which agents there are. What they know of earlier starts
		// stays true, since ages count from the start of this process.
		readStore()
		e.waitConfigured(ctx)
	}
	if e.resumeFromWitnesses(ctx) {
		return
	}
	if configured {
		readStore()
	}
	if ctx.Err() != nil {
		return
	}
	e.quota.Resume(start, checkpoint)
	e.logger.Info("restored quota usage of earlier starts", zap.Bool("joined", start == tokenquota.Joined), zap.Bool("checkpoint_lost", start == tokenquota.CheckpointLost), zap.Int("busy_teams", len(checkpoint.Spent)))
}

// readUntilAnswered calls read until it succeeds or ctx ends.
func readUntilAnswered(ctx context.Context, logger *zap.Logger, read func(context.Context) error) {
	pause := retryPause{shortest: restoreRetryDelay, longest: maxRestoreRetryDelay}
	for timeout := restoreTimeout; ctx.Err() == nil; timeout = min(maxRestoreTimeout, 2*timeout) {
		tryCtx, cancel := context.WithTimeout(ctx, timeout)
		err := read(tryCtx)
		cancel()
		if err == nil {
			return
		}
		delay := pause.next()
		logger.Warn("cannot read quota usage of earlier starts, retrying", zap.Duration("timeout", timeout), zap.Duration("retry_after", delay), telemetry.Err(err))
		sleep(ctx, delay)
	}
}

// waitQuotaRestored waits for restoreQuotaUsage, for at most quotaReadyWait.
func (e *entry) waitQuotaRestored(ctx context.Context) {
	t := time.NewTimer(quotaReadyWait)
	defer t.Stop()
	select {
	case <-e.quotaRestored:
	case <-t.C:
		e.logger.Warn("starting without the quota usage of earlier starts, which counts as the whole share until it is read")
	case <-ctx.Done():
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
