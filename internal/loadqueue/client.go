package loadqueue

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/place"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/residency"
)

// Peer carries the messages to the entry instance at addr.
type Peer interface {
	Slot(ctx context.Context, addr string, q SlotRequest) (SlotAnswer, error)
	Renew(ctx context.Context, addr string, r Report) error
	Done(ctx context.Context, addr string, d DoneRequest) error
}

// Client takes slots for one agent. While the owner does not answer, loads go
// ahead without a slot and the weight store's own refusals bound them.
type Client struct {
	self  record.InstanceRef
	views Views
	peer  Peer
	log   *zap.Logger

	mu   sync.Mutex
	held map[string]HeldSlot
}

var _ residency.Slots = (*Client)(nil)

// NewClient returns the client of the agent self.
func NewClient(self record.InstanceRef, views Views, peer Peer, log *zap.Logger) *Client {
	return &Client{self: self, views: views, peer: peer, log: log, held: make(map[string]HeldSlot)}
}

// Slot implements residency.Slots. A preload never goes ahead without a slot.
func (c *Client) Slot(ctx context.Context, l residency.Load) (func(), error) {
	q := c.request(l)
	var failing time.Time
	failures := 0
	for {
		q.DeadlineMS = time.Until(l.Deadline).Milliseconds()
		a, err := c.ask(ctx, q)
		switch {
		case err == nil && a.Granted && a.ID == q.ID:
			return c.hold(q), nil
		case ctx.Err() != nil:
			go c.giveBack(q.ID)
			return nil, ctx.Err()
		case err == nil:
			failures = 0
			continue
		case failures == 0:
			failing = time.Now()
		case failures >= unreachableTries && time.Since(failing) >= unreachableAfter && !l.Preload:
			c.log.Warn("load-queue owner does not answer, loading without a slot", zap.String("checkpoint", l.Checkpoint), zap.Error(err))
			return func() {}, nil
		}
		failures++
		wait(ctx, retryOwner)
	}
}

func (c *Client) request(l residency.Load) SlotRequest {
	class := Store
	if l.Adapter {
		class = Adapter
	}
	return SlotRequest{
		ID: uuid.NewString(), Holder: c.self, Class: class, Checkpoint: l.Checkpoint, Value: l.Value,
		Team: l.Team, MemoryMiB: l.MemoryMiB, Preload: l.Preload,
	}
}

// ask sends the request to the owner of the client's view.
func (c *Client) ask(ctx context.Context, q SlotRequest) (SlotAnswer, error) {
	v := c.views.View()
	owner, ok := place.First(v, Duty)
	if !ok {
		return SlotAnswer{}, errkind.New(errkind.UpstreamUnavailable, "no entry instance is live")
	}
	ctx, cancel := context.WithTimeout(ctx, 2*holdTime)
	defer cancel()
	q.Offset = v.Offset
	return c.peer.Slot(ctx, owner.PeerAddr, q)
}

func (c *Client) hold(q SlotRequest) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[q.ID] = HeldSlot{ID: q.ID, Class: q.Class, Checkpoint: q.Checkpoint}
	return func() { go c.giveBack(q.ID) }
}

// giveBack returns a slot; if the message is lost the lease lapses.
func (c *Client) giveBack(id string) {
	c.mu.Lock()
	delete(c.held, id)
	c.mu.Unlock()
	v := c.views.View()
	owner, ok := place.First(v, Duty)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), holdTime)
	defer cancel()
	_ = c.peer.Done(ctx, owner.PeerAddr, DoneRequest{Offset: v.Offset, ID: id, Holder: c.self})
}

// Run renews the held slots until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for wait(ctx, renewEvery); ctx.Err() == nil; wait(ctx, renewEvery) {
		v := c.views.View()
		owner, ok := place.First(v, Duty)
		r := c.report()
		if !ok || len(r.Slots) == 0 {
			continue
		}
		r.Offset = v.Offset
		if err := c.peer.Renew(ctx, owner.PeerAddr, r); err != nil {
			c.log.Debug("load slots are not renewed", zap.Error(err))
		}
	}
}

func (c *Client) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Holder: c.self}
	for _, s := range c.held {
		r.Slots = append(r.Slots, s)
	}
	return r
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
