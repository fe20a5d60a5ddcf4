package loadqueue

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/assignment"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/residency"
)

// Transport sends the messages to the entry instance at addr.
type Transport interface {
	Acquire(ctx context.Context, addr string, q SlotRequest) (SlotResponse, error)
	Renew(ctx context.Context, addr string, r RenewRequest) error
	Release(ctx context.Context, addr string, d ReleaseRequest) error
}

// Client acquires slots for one agent. While the owner does not answer, loads run
// without a slot; the weight store limits them by refusing requests.
type Client struct {
	self      record.InstanceRef
	views     Views
	transport Transport
	log       *zap.Logger

	mu   sync.Mutex
	held map[string]HeldSlot
}

var _ residency.SlotProvider = (*Client)(nil)

// NewClient returns the client for the agent self.
func NewClient(self record.InstanceRef, views Views, transport Transport, log *zap.Logger) *Client {
	return &Client{self: self, views: views, transport: transport, log: log, held: make(map[string]HeldSlot)}
}

// Slot implements residency.SlotProvider. A preload never runs without a slot.
func (c *Client) Slot(ctx context.Context, l residency.Load) (func(), error) {
	q := c.newSlotRequest(l)
	var failingSince time.Time
	failures := 0
	for {
		q.DeadlineMS = time.Until(l.Deadline).Milliseconds()
		a, err := c.askOwner(ctx, q)
		switch {
		case err == nil && a.Granted && a.ID == q.ID:
			return c.addHeld(q), nil
		case ctx.Err() != nil:
			go c.release(q.ID)
			return nil, ctx.Err()
		case err == nil:
			failures = 0
			continue
		case failures == 0:
			failingSince = time.Now()
		case failures >= unreachableTries && time.Since(failingSince) >= unreachableAfter && !l.Preload:
			c.log.Warn("load-queue owner does not answer, loading without a slot", zap.String("checkpoint", l.Checkpoint), zap.Error(err))
			return func() {}, nil
		}
		failures++
		sleep(ctx, ownerRetryInterval)
	}
}

func (c *Client) newSlotRequest(l residency.Load) SlotRequest {
	class := Store
	if l.Adapter {
		class = Adapter
	}
	return SlotRequest{
		ID: uuid.NewString(), Holder: c.self, Class: class, Checkpoint: l.Checkpoint, Value: l.Value,
		Team: l.Team, MemoryMiB: l.MemoryMiB, Preload: l.Preload,
	}
}

// askOwner sends the request to the owner according to the agent's view.
func (c *Client) askOwner(ctx context.Context, q SlotRequest) (SlotResponse, error) {
	v := c.views.View()
	owner, ok := assignment.Leader(v, LeaderTask)
	if !ok {
		return SlotResponse{}, errkind.New(errkind.UpstreamUnavailable, "no entry instance is live")
	}
	ctx, cancel := context.WithTimeout(ctx, 2*longPollTimeout)
	defer cancel()
	q.Offset = v.Offset
	return c.transport.Acquire(ctx, owner.PeerAddr, q)
}

func (c *Client) addHeld(q SlotRequest) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[q.ID] = HeldSlot{ID: q.ID, Class: q.Class, Checkpoint: q.Checkpoint}
	return func() { go c.release(q.ID) }
}

// release releases a slot. If the message is lost, the lease expires.
func (c *Client) release(id string) {
	c.mu.Lock()
	delete(c.held, id)
	c.mu.Unlock()
	v := c.views.View()
	owner, ok := assignment.Leader(v, LeaderTask)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), longPollTimeout)
	defer cancel()
	_ = c.transport.Release(ctx, owner.PeerAddr, ReleaseRequest{Offset: v.Offset, ID: id, Holder: c.self})
}

// Run renews the held slots until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for sleep(ctx, renewInterval); ctx.Err() == nil; sleep(ctx, renewInterval) {
		v := c.views.View()
		owner, ok := assignment.Leader(v, LeaderTask)
		r := c.newRenewRequest()
		if !ok || len(r.Slots) == 0 {
			continue
		}
		r.Offset = v.Offset
		if err := c.transport.Renew(ctx, owner.PeerAddr, r); err != nil {
			c.log.Debug("could not renew load slots", zap.Error(err))
		}
	}
}

func (c *Client) newRenewRequest() RenewRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := RenewRequest{Holder: c.self}
	for _, s := range c.held {
		r.Slots = append(r.Slots, s)
	}
	return r
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
