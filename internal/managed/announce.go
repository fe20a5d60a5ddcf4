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

// announce writes the member record of this process, retrying until the store accepts it, and
// again whenever the store has come back from a copy, until ctx ends. It calls announced with
// the position of each record, which is after those of earlier starts.
func announce(ctx context.Context, store *platform.Store, era *storeEra, m fleet.Member, logger *zap.Logger, announced func(topicwatch.Position)) {
	value, err := json.Marshal(m)
	if err != nil {
		logger.Error("cannot encode member record", telemetry.Err(err))
		return
	}
	for ctx.Err() == nil {
		position, err := store.Put(ctx, topicwatch.Members, m.Name, value)
		if err != nil {
			logger.Warn("cannot write member record, retrying", telemetry.Err(err))
			sleep(ctx, announceRetry)
			continue
		}
		logger.Info("announced", zap.Int64("era", position.Era), zap.Int64("offset", position.Offset), zap.String("addr", m.Addr))
		announced(position)
		era.waitAfter(ctx, position.Era)
	}
}

// eraFenceBits is the number of bits of a fencing token for the offset, far more than records
// are written in an era.
const eraFenceBits = 40

// fence returns the fencing token of an agent's orders from the position of its member record.
// Unlike a timestamp, it increases across restarts, machine replacements and clock jumps.
func fence(p topicwatch.Position) int64 { return p.Era<<eraFenceBits + p.Offset + 1 }
