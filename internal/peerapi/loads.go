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

// empty is the body of a message without fields.
type empty struct{}

// RegisterLoads registers the handlers of the load queue. owner returns the
// queue owner of the current incarnation, or nil before it has joined.
func RegisterLoads(r *route.Engine, owner func() *loadqueue.Owner) {
	handle(r, pathSlot, func(ctx context.Context, req loadqueue.SlotRequest) (loadqueue.SlotResponse, error) {
		o := owner()
		if o == nil {
			return loadqueue.SlotResponse{}, errkind.New(errkind.NotHome, "this instance has not joined the fleet yet")
		}
		return o.Acquire(ctx, req)
	})
	handle(r, pathRenew, func(_ context.Context, req loadqueue.RenewRequest) (empty, error) {
		if o := owner(); o != nil {
			return empty{}, o.Renew(req)
		}
		return empty{}, nil
	})
	handle(r, pathDone, func(_ context.Context, req loadqueue.ReleaseRequest) (empty, error) {
		if o := owner(); o != nil {
			o.Release(req)
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
func (l loads) Acquire(ctx context.Context, addr string, req loadqueue.SlotRequest) (loadqueue.SlotResponse, error) {
	return call[loadqueue.SlotResponse](ctx, l.client, addr, pathSlot, req)
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
