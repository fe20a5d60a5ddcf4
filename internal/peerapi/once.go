package peerapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
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
func RegisterWriter(r *route.Engine, writer func() *atmostonce.Writer) {
	handle(r, pathIntent, withWriter(writer, (*atmostonce.Writer).Intent))
	handle(r, pathResult, withWriter(writer, (*atmostonce.Writer).Result))
	handle(r, pathStatus, withWriter(writer, (*atmostonce.Writer).Status))
}

func withWriter[Req any](writer func() *atmostonce.Writer, h func(*atmostonce.Writer, context.Context, Req) (atmostonce.StateResponse, error)) func(context.Context, Req) (atmostonce.StateResponse, error) {
	return func(ctx context.Context, req Req) (atmostonce.StateResponse, error) {
		w := writer()
		if w == nil {
			return atmostonce.StateResponse{}, errkind.New(errkind.LogUnavailable, "this instance has not joined the fleet yet")
		}
		return h(w, ctx, req)
	}
}

// Settler handles settle requests on an agent.
type Settler interface {
	Settle(req atmostonce.SettleRequest) atmostonce.SettleResponse
}

// RegisterSettle registers the handler for settle requests. settler returns the
// Settler of the current incarnation, or nil if there is none.
func RegisterSettle(r *route.Engine, settler func() Settler) {
	handle(r, pathSettle, func(_ context.Context, req atmostonce.SettleRequest) (atmostonce.SettleResponse, error) {
		s := settler()
		if s == nil {
			return atmostonce.SettleResponse{Attempt: req.Attempt, State: atmostonce.SettleUnknown}, nil
		}
		return s.Settle(req), nil
	})
}

var (
	_ atmostonce.WriterClient = (*Client)(nil)
	_ atmostonce.AgentClient  = (*Client)(nil)
)

// Intent implements atmostonce.WriterClient.
func (c *Client) Intent(ctx context.Context, to controlstate.Member, req atmostonce.IntentRequest) (atmostonce.StateResponse, error) {
	return call[atmostonce.StateResponse](ctx, c, to.PeerAddr, pathIntent, req)
}

// Result implements atmostonce.WriterClient.
func (c *Client) Result(ctx context.Context, to controlstate.Member, req atmostonce.ResultRequest) (atmostonce.StateResponse, error) {
	return call[atmostonce.StateResponse](ctx, c, to.PeerAddr, pathResult, req)
}

// Status implements atmostonce.WriterClient.
func (c *Client) Status(ctx context.Context, to controlstate.Member, req atmostonce.StatusRequest) (atmostonce.StateResponse, error) {
	return call[atmostonce.StateResponse](ctx, c, to.PeerAddr, pathStatus, req)
}

// Settle implements atmostonce.AgentClient.
func (c *Client) Settle(ctx context.Context, to controlstate.Member, req atmostonce.SettleRequest) (atmostonce.SettleResponse, error) {
	return call[atmostonce.SettleResponse](ctx, c, to.PeerAddr, pathSettle, req)
}
