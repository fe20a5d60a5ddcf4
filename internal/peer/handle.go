package peer

import (
	"context"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// Handle registers a typed JSON handler for POST requests to path.
func Handle[Req, Resp any](r *route.Engine, path string, h func(context.Context, Req) (Resp, error)) {
	r.POST(path, func(ctx context.Context, c *app.RequestContext) {
		defer func() { countCall("in", path, len(c.Request.Body()), len(c.Response.Body())) }()
		var req Req
		// The JSON decoder replaces invalid UTF-8, so that different names could become the same.
		if !utf8.Valid(c.Request.Body()) {
			WriteError(c, errkind.New(errkind.InvalidRequest, "the request body is not valid UTF-8"), "")
			return
		}
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
	setError(&c.Response, e, requestID)
}

func setError(r *protocol.Response, e *errkind.Error, requestID string) {
	body := errkind.NewBody(e, requestID)
	if body.Error.RetryAfterS > 0 {
		r.Header.Set("Retry-After", strconv.Itoa(body.Error.RetryAfterS))
	}
	data, _ := json.Marshal(body)
	r.SetStatusCode(errkind.ResponseFor(e.Kind).Status)
	r.Header.SetContentType("application/json")
	r.SetBodyRaw(data)
}
