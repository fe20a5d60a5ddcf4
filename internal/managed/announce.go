package managed

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
	"github.com/jacinthbend/jacinthbend/platform"
)

// announceRetry is the delay between two attempts to announce a process.
const announceRetry = 400 * time.Millisecond

// announce writes the member record of this process, retrying until the store
// accepts it, and returns the record's offset. The offset is higher than that
// of any earlier start.
func announce(ctx context.Context, store *platform.Store, m fleet.Member, logger *zap.Logger) int64 {
	value, err := json.Marshal(m)
	if err != nil {
		logger.Error("cannot encode member record", telemetry.Err(err))
		return 0
	}
	for ctx.Err() == nil {
		offset, err := store.Put(ctx, topicwatch.Members, m.Name, value)
		if err == nil {
			logger.Info("announced", zap.Int64("offset", offset), zap.String("addr", m.Addr))
			return offset
		}
		logger.Warn("cannot write member record, retrying", telemetry.Err(err))
		sleep(ctx, announceRetry)
	}
	return 0
}
