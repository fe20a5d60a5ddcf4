package entry

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// Headers of callers' requests and of the responses to them.
const (
	headerRequestID      = "X-Request-Id"
	headerDeadlineMS     = "X-Request-Deadline-Ms"
	headerClass          = "X-Request-Class"
	headerIdempotencyKey = "Idempotency-Key"
)

// requestInfo identifies one request of a caller and holds what its headers
// asked for.
type requestInfo struct {
	id       string
	start    time.Time
	team     string
	keyID    string
	class    dispatch.Class
	deadline time.Time
	// upstream is the agent instance of the latest attempt, for the log.
	upstream string
}

func newRequestInfo(c *app.RequestContext) *requestInfo {
	info := &requestInfo{id: uuid.NewString(), start: time.Now()}
	c.Header(headerRequestID, info.id)
	return info
}

// respondError sends err to the caller, logs it and counts it. err may be a
// refusal or the failure of an attempt.
func (e *Entry) respondError(c *app.RequestContext, info *requestInfo, err error) {
	failure := errkind.From(err)
	e.recordFailure(info, failure)
	peer.WriteError(c, failure, info.id)
}

func (e *Entry) recordFailure(info *requestInfo, failure *errkind.Error) {
	e.stats.countFailure(failure.Kind)
	e.Logger.Info("request refused", zap.String("request_id", info.id), zap.String("team", info.team),
		zap.String("kind", string(failure.Kind)), zap.String("ran", string(failure.Ran)),
		zap.String("upstream", info.upstream), zap.String("message", failure.Error()))
}
