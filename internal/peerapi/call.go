package peerapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// handle registers a typed handler.
func handle[Req, Resp any](r *route.Engine, path string, h func(context.Context, Req) (Resp, error)) {
	peer.Handle(r, path, h)
}

// call sends req and returns the typed response.
func call[Resp, Req any](ctx context.Context, c *Client, addr, path string, req Req) (Resp, error) {
	var resp Resp
	err := c.calls.Call(ctx, addr, path, req, &resp)
	return resp, err
}
