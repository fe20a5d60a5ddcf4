package peerapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/loadqueue"
)

// Paths of the load queue.
const (
	pathSlot  = "/loads/slot"
	pathRenew = "/loads/renew"
	pathDone  = "/loads/done"
)

// empty is the answer without fields.
type empty struct{}

// RegisterLoads serves the load queue; owner returns that of the present
// incarnation.
func RegisterLoads(r *route.Engine, owner func() *loadqueue.Owner) {
	handle(r, pathSlot, func(ctx context.Context, q loadqueue.SlotRequest) (loadqueue.SlotResponse, error) {
		o := owner()
		if o == nil {
			return loadqueue.SlotResponse{}, errkind.New(errkind.NotHome, "this instance has not joined the fleet yet")
		}
		return o.Acquire(ctx, q)
	})
	handle(r, pathRenew, func(_ context.Context, q loadqueue.RenewRequest) (empty, error) {
		if o := owner(); o != nil {
			return empty{}, o.Renew(q)
		}
		return empty{}, nil
	})
	handle(r, pathDone, func(_ context.Context, q loadqueue.ReleaseRequest) (empty, error) {
		if o := owner(); o != nil {
			o.Release(q)
		}
		return empty{}, nil
	})
}

// Loads returns the client of the load queue.
func (c *Client) Loads() loadqueue.Transport { return loads{c} }

type loads struct {
	client *Client
}

// Acquire implements loadqueue.Transport.
func (l loads) Acquire(ctx context.Context, addr string, q loadqueue.SlotRequest) (loadqueue.SlotResponse, error) {
	return call[loadqueue.SlotResponse](ctx, l.client, addr, pathSlot, q)
}

// Renew implements loadqueue.Transport.
func (l loads) Renew(ctx context.Context, addr string, r loadqueue.RenewRequest) error {
	_, err := call[empty](ctx, l.client, addr, pathRenew, r)
	return err
}

// Release implements loadqueue.Transport.
func (l loads) Release(ctx context.Context, addr string, d loadqueue.ReleaseRequest) error {
	_, err := call[empty](ctx, l.client, addr, pathDone, d)
	return err
}
