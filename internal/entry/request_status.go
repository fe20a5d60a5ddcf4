package entry

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// requestStatus is the response to GET /v1/requests/{key}.
type requestStatus struct {
	IdempotencyKey string           `json:"idempotency_key"`
	Phase          atmostonce.Phase `json:"phase"`
	// Result is the recorded result of a finished call.
	Result *atmostonce.Result `json:"result,omitempty"`
}

// serveRequestStatus returns the state of an earlier call with an idempotency key,
// whichever entry instance received it.
func (e *Entry) serveRequestStatus(ctx context.Context, c *app.RequestContext) {
	info := newRequestInfo(c)
	if err := e.beginRequest(); err != nil {
		e.respondError(c, info, err)
		return
	}
	defer e.Lifecycle.End()
	v, err := e.authenticatedView(c, info)
	if err != nil {
		e.respondError(c, info, err)
		return
	}
	if err := readHeaders(v, c, info); err != nil {
		e.respondError(c, info, err)
		return
	}
	id, err := callID(info, c.Param("key"))
	if err != nil {
		e.respondError(c, info, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, info.deadline)
	defer cancel()
	state, err := e.Once.Status(ctx, id)
	if err != nil {
		e.respondError(c, info, err)
		return
	}
	peer.WriteJSON(c, consts.StatusOK, requestStatus{IdempotencyKey: id.Key, Phase: state.Phase, Result: state.Result})
}
