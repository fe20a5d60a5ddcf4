package peer

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// Handle registers a typed JSON handler for POST requests to path.
func Handle[Req, Resp any](r *route.Engine, path string, h func(context.Context, Req) (Resp, error)) {
	r.POST(path, func(ctx context.Context, c *app.RequestContext) {
		defer func() { countCall("in", path, len(c.Request.Body()), len(c.Response.Body())) }()
		var req Req
		if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
			WriteError(c, errkind.Wrap(errkind.InvalidRequest, "the request body is not the expected JSON", err), "")
			return
		}
		resp, err := h(ctx, req)
		if err != nil {
			WriteError(c, errkind.From(err), "")
			return
		}
		WriteJSON(c, consts.StatusOK, resp)
	})
}

// WriteJSON writes v as a JSON response.
func WriteJSON(c *app.RequestContext, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		WriteError(c, errkind.Wrap(errkind.Internal, "encode response", err), "")
		return
	}
	c.Data(status, "application/json", data)
}

// WriteError writes e as a JSON error response, with the status and headers
// that errkind defines for its kind.
func WriteError(c *app.RequestContext, e *errkind.Error, requestID string) {
	body := errkind.NewBody(e, requestID)
	if body.Error.RetryAfterS > 0 {
		c.Header("Retry-After", strconv.Itoa(body.Error.RetryAfterS))
	}
	data, _ := json.Marshal(body)
	c.Data(errkind.ResponseFor(e.Kind).Status, "application/json", data)
}
