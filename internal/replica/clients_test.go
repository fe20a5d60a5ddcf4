package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/relay"
)

// peerLink is the client with which one instance calls another.
type peerLink struct {
	sim  *simulation
	from *node
	addr string
}

func (n *node) Peer(addr string) relay.Peer { return peerLink{n.sim, n, addr} }

func callPeer[Q, A any](ctx context.Context, l peerLink, method string, q Q, serve func(relay.Peer, context.Context, Q) (A, error)) (A, error) {
	var zero A
	l.sim.reachStep(method, beforeSend, l.from)
	l.sim.mu.Lock()
	target, ok := l.sim.nodes[l.addr]
	duplicateCall := l.sim.duplicate
	l.sim.mu.Unlock()
	if !ok || target == l.from {
		return zero, fmt.Errorf("no listener at %s", l.addr)
	}
	if err := l.sim.transmit(ctx, l.from, target); err != nil {
		return zero, err
	}
	if duplicateCall {
		l.sim.wg.Go(func() { _, _ = serve(target.replica.Relay(), ctx, q) })
	}
	a, err := serve(target.replica.Relay(), ctx, q)
	if err != nil {
		return zero, err
	}
	l.sim.reachStep(method, beforeAnswer, target)
	if target.dead() {
		return zero, fmt.Errorf("connection to %s reset", target.instance)
	}
	if err := target.waitUnpaused(ctx); err != nil {
		return zero, err
	}
	l.sim.mu.Lock()
	answerDelay := lookupFault(l.sim.answerDelay, l.from)
	l.sim.mu.Unlock()
	if err := sleep(ctx, answerDelay); err != nil {
		return zero, err
	}
	if err := l.sim.transmit(ctx, target, l.from); err != nil {
		return zero, err
	}
	l.sim.reachStep(method, afterAnswer, l.from)
	return a, ctx.Err()
}

func (l peerLink) Pull(ctx context.Context, q relay.PullRequest) (relay.PullResponse, error) {
	return callPeer(ctx, l, "Pull", q, relay.Peer.Pull)
}

func (l peerLink) Snapshot(ctx context.Context, q relay.SnapshotRequest) (relay.SnapshotResponse, error) {
	return callPeer(ctx, l, "Snapshot", q, relay.Peer.Snapshot)
}

func (l peerLink) Status(ctx context.Context, q relay.StatusRequest) (relay.StatusResponse, error) {
	return callPeer(ctx, l, "Status", q, relay.Peer.Status)
}

// logClient is the client with which one instance calls the log.
type logClient struct{ n *node }

// transmit simulates one direction of a call between the instance and the log.
func (c logClient) transmit(ctx context.Context) error {
	if err := c.n.waitUnpaused(ctx); err != nil {
		return err
	}
	c.n.sim.mu.Lock()
	down, delay := lookupFault(c.n.sim.logDown, c.n), lookupFault(c.n.sim.logDelay, c.n)
	c.n.sim.mu.Unlock()
	if err := sleep(ctx, delay+time.Millisecond); err != nil {
		return err
	}
	if down || c.n.dead() {
		return backing.ErrUnavailable
	}
	return nil
}

func (c logClient) Append(ctx context.Context, stream string, entries []json.RawMessage) (backing.Offset, error) {
	sim := c.n.sim
	sim.reachStep("Append", beforeSend, c.n)
	if err := c.transmit(ctx); err != nil {
		return 0, err
	}
	first, err := sim.append(stream, entries)
	sim.reachStep("Append", beforeAnswer, c.n)
	sim.mu.Lock()
	loseAnswer := sim.loseAppendAnswers
	sim.mu.Unlock()
	if loseAnswer {
		return 0, backing.ErrUnavailable
	}
	if err := c.transmit(ctx); err != nil {
		return 0, err
	}
	if stream == "control" {
		sim.markKnown(c.n, first)
		sim.mu.Lock()
		onConfirmed := sim.onAppendConfirmed
		sim.onAppendConfirmed = nil
		sim.mu.Unlock()
		if onConfirmed != nil {
			onConfirmed()
		}
	}
	sim.reachStep("Append", afterAnswer, c.n)
	return first, err
}

// markKnown records that an instance knows the record, unless that instance is
// cut off from all others.
func (sim *simulation) markKnown(n *node, offset backing.Offset) {
	sim.mu.Lock()
	isolated := sim.cut[[2]string{n.instance, "all"}]
	sim.mu.Unlock()
	if !isolated {
		sim.history.markKnown(sim.now(), offset)
	}
}

// append appends the entries to the log at once and records them for the
// checker in log order.
func (sim *simulation) append(stream string, entries []json.RawMessage) (backing.Offset, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	first, err := sim.log.Append(sim.ctx, stream, entries)
	if err == nil && stream == "control" {
		for i, data := range entries {
			sim.history.recordAppend(first+backing.Offset(i), data)
		}
	}
	return first, err
}

func (c logClient) Read(ctx context.Context, stream string, after backing.Offset, limit int, wait time.Duration) (backing.Page, error) {
	c.n.sim.reachStep("Read", beforeSend, c.n)
	if err := c.transmit(ctx); err != nil {
		return backing.Page{}, err
	}
	page, err := c.n.sim.log.Read(ctx, stream, after, limit, wait)
	c.n.sim.reachStep("Read", beforeAnswer, c.n)
	c.n.sim.mu.Lock()
	readDelay := c.n.sim.readDelay
	c.n.sim.mu.Unlock()
	if err := sleep(ctx, readDelay); err != nil {
		return backing.Page{}, err
	}
	if err := c.transmit(ctx); err != nil {
		return backing.Page{}, err
	}
	if stream == "control" {
		for _, rec := range page.Records {
			c.n.sim.markKnown(c.n, rec.Offset)
		}
	}
	c.n.sim.reachStep("Read", afterAnswer, c.n)
	return page, err
}

// listClient is the client with which one instance reads the instance list.
type listClient struct{ n *node }

func (c listClient) List(ctx context.Context) ([]backing.ListedInstance, error) {
	sim := c.n.sim
	sim.reachStep("List", beforeSend, c.n)
	defer sim.reachStep("List", afterAnswer, c.n)
	defer sim.reachStep("List", beforeAnswer, c.n)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var listed []backing.ListedInstance
	for addr, n := range sim.nodes {
		if (n.dead() && !sim.listKeepsKilled) || sim.listEmpty {
			continue
		}
		listed = append(listed, backing.ListedInstance{Instance: n.instance, Addr: addr, DataCentre: n.dc, State: backing.InstanceLive})
	}
	slices.SortFunc(listed, func(a, b backing.ListedInstance) int { return len(a.Addr) - len(b.Addr) })
	return listed, ctx.Err()
}
