package peerapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/budget"
)

const pathGrant = "/budget/grant"

// RegisterBudget registers the handler for budget grants. owner returns the
// budget owner of the current incarnation, or nil before it has joined.
func RegisterBudget(r *route.Engine, owner func() *budget.Owner) {
	handle(r, pathGrant, func(_ context.Context, req budget.GrantRequest) (budget.GrantResponse, error) {
		o := owner()
		if o == nil {
			return budget.GrantResponse{ID: req.ID, Refusal: budget.NotOwner}, nil
		}
		return o.Grant(req), nil
	})
}

var _ budget.Peer = (*Client)(nil)

// Grant implements budget.Peer.
func (c *Client) Grant(ctx context.Context, addr string, req budget.GrantRequest) (budget.GrantResponse, error) {
	return call[budget.GrantResponse](ctx, c, addr, pathGrant, req)
}
