package peerapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/once"
)

// Paths of calls that are executed at most once.
const (
	pathIntent = "/once/intent"
	pathResult = "/once/result"
	pathStatus = "/once/status"
	pathSettle = "/attempts/settle"
)

// RegisterWriter registers the handlers of the partition writer. writer returns
// the writer of the current incarnation, or nil before it has joined.
func RegisterWriter(r *route.Engine, writer func() *once.Writer) {
	handle(r, pathIntent, withWriter(writer, (*once.Writer).Intent))
	handle(r, pathResult, withWriter(writer, (*once.Writer).Result))
	handle(r, pathStatus, withWriter(writer, (*once.Writer).Status))
}

func withWriter[Req any](writer func() *once.Writer, h func(*once.Writer, context.Context, Req) (once.StateResponse, error)) func(context.Context, Req) (once.StateResponse, error) {
	return func(ctx context.Context, req Req) (once.StateResponse, error) {
		w := writer()
		if w == nil {
			return once.StateResponse{}, errkind.New(errkind.LogUnavailable, "this instance has not joined the fleet yet")
		}
		return h(w, ctx, req)
	}
}

// Settler handles settle requests on an agent.
type Settler interface {
	Settle(req once.SettleRequest) once.SettleResponse
}

// RegisterSettle registers the handler for settle requests. settler returns the
// Settler of the current incarnation, or nil if there is none.
func RegisterSettle(r *route.Engine, settler func() Settler) {
	handle(r, pathSettle, func(_ context.Context, req once.SettleRequest) (once.SettleResponse, error) {
		s := settler()
		if s == nil {
			return once.SettleResponse{Attempt: req.Attempt, State: once.SettleUnknown}, nil
		}
		return s.Settle(req), nil
	})
}

var (
	_ once.WriterClient = (*Client)(nil)
	_ once.AgentClient  = (*Client)(nil)
)

// Intent implements once.WriterClient.
func (c *Client) Intent(ctx context.Context, to fold.Member, req once.IntentRequest) (once.StateResponse, error) {
	return call[once.StateResponse](ctx, c, to.PeerAddr, pathIntent, req)
}

// Result implements once.WriterClient.
func (c *Client) Result(ctx context.Context, to fold.Member, req once.ResultRequest) (once.StateResponse, error) {
	return call[once.StateResponse](ctx, c, to.PeerAddr, pathResult, req)
}

// Status implements once.WriterClient.
func (c *Client) Status(ctx context.Context, to fold.Member, req once.StatusRequest) (once.StateResponse, error) {
	return call[once.StateResponse](ctx, c, to.PeerAddr, pathStatus, req)
}

// Settle implements once.AgentClient.
func (c *Client) Settle(ctx context.Context, to fold.Member, req once.SettleRequest) (once.SettleResponse, error) {
	return call[once.SettleResponse](ctx, c, to.PeerAddr, pathSettle, req)
}
