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
	handle(r, pathSlot, func(ctx context.Context, req loadqueue.SlotRequest) (loadqueue.SlotAnswer, error) {
		o := owner()
		if o == nil {
			return loadqueue.SlotAnswer{}, errkind.New(errkind.NotHome, "this instance has not joined the fleet yet")
		}
		return o.Slot(ctx, req)
	})
	handle(r, pathRenew, func(_ context.Context, req loadqueue.Report) (empty, error) {
		if o := owner(); o != nil {
			return empty{}, o.Renew(req)
		}
		return empty{}, nil
	})
	handle(r, pathDone, func(_ context.Context, req loadqueue.DoneRequest) (empty, error) {
		if o := owner(); o != nil {
			o.Done(req)
		}
		return empty{}, nil
	})
}

// Loads returns the client of the load queue.
func (c *Client) Loads() loadqueue.Peer { return loads{c} }

type loads struct {
	client *Client
}

// Slot implements loadqueue.Peer.
func (l loads) Slot(ctx context.Context, addr string, req loadqueue.SlotRequest) (loadqueue.SlotAnswer, error) {
	return call[loadqueue.SlotAnswer](ctx, l.client, addr, pathSlot, req)
}

// Renew implements loadqueue.Peer.
func (l loads) Renew(ctx context.Context, addr string, r loadqueue.Report) error {
	_, err := call[empty](ctx, l.client, addr, pathRenew, r)
	return err
}

// Done implements loadqueue.Peer.
func (l loads) Done(ctx context.Context, addr string, d loadqueue.DoneRequest) error {
	_, err := call[empty](ctx, l.client, addr, pathDone, d)
	return err
}
