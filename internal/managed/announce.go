package managed

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/topic"
	"github.com/jacinthbend/jacinthbend/platform"
)

// announceRetry is the time between two tries to announce a process.
const announceRetry = 400 * time.Millisecond

// announce writes the record of this process until the store has accepted it,
// and returns the record's offset. It is higher than that of any start before.
func announce(ctx context.Context, store *platform.Store, m fleet.Member, logger *zap.Logger) int64 {
	value, err := json.Marshal(m)
	if err != nil {
		logger.Error("the announcement cannot be encoded", telemetry.Err(err))
		return 0
	}
	for ctx.Err() == nil {
		offset, err := store.Put(ctx, topic.Members, m.Name, value)
		if err == nil {
			logger.Info("announced", zap.Int64("offset", offset), zap.String("addr", m.Addr))
			return offset
		}
		logger.Warn("not announced yet", telemetry.Err(err))
		sleep(ctx, announceRetry)
	}
	return 0
}
