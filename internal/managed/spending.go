package managed

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/topic"
)

// checkpointPause bounds the rate of checkpoints of one instance.
const checkpointPause = 150 * time.Millisecond

const (
	// resumePatience bounds the first try to learn of earlier spending; each further
	// one has twice the time. A machine's links may come up after its processes,
	// and a call that was lost then would cost a start its whole timeout.
	resumePatience = 150 * time.Millisecond
	resumePause    = 50 * time.Millisecond
)

// resumeSpending learns what earlier starts of this instance spent. It returns
// when the store has answered; without it there is no configuration either.
func (e *entry) resumeSpending(ctx context.Context) {
	if e.settings.FirstStart {
		return
	}
	for patience := resumePatience; ctx.Err() == nil; patience *= 2 {
		try, cancel := context.WithTimeout(ctx, patience)
		start, before, err := e.earlierSpending(try)
		cancel()
		if err == nil {
			e.quota.Resume(start, before)
			e.logger.Info("earlier spending known", zap.Bool("joined", start == tokenquota.Joined), zap.Int("busy_teams", len(before.Spent)))
			return
		}
		e.logger.Warn("earlier spending not known yet", telemetry.Err(err))
		sleep(ctx, resumePause)
	}
}

func (e *entry) earlierSpending(ctx context.Context) (tokenquota.StartKind, tokenquota.Checkpoint, error) {
	var before tokenquota.Checkpoint
	members, err := e.store.List(ctx, topic.Members)
	if err != nil {
		return 0, before, err
	}
	start := tokenquota.Joined
	for _, it := range members.Items {
		if it.Key == e.settings.Instance {
			start = tokenquota.Restart
		}
	}
	spending, err := e.store.List(ctx, topic.Spending)
	if err != nil {
		return 0, before, err
	}
	for _, it := range spending.Items {
		if it.Key != e.settings.Instance {
			continue
		}
		if err := json.Unmarshal(it.Value, &before); err != nil {
			e.logger.Warn("checkpoint of earlier spending skipped", zap.Int64("offset", it.Offset), telemetry.Err(err))
			return tokenquota.Joined, tokenquota.Checkpoint{}, nil
		}
	}
	return start, before, nil
}

// writeSpending writes a checkpoint whenever one is due. While the store does
// not answer, requests are still served: a restart in that time may let a busy
// team spend up to half of its allowance twice.
func (e *entry) writeSpending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.quota.CheckpointDue():
		}
		value, err := json.Marshal(e.quota.Checkpoint())
		if err == nil {
			_, err = e.store.Put(ctx, topic.Spending, e.settings.Instance, value)
		}
		if err != nil {
			e.logger.Warn("checkpoint of spending not written", telemetry.Err(err))
		}
		sleep(ctx, checkpointPause)
	}
}
