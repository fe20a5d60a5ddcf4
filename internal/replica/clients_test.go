package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/relay"
)

// link is the client side of one instance towards another.
type link struct {
	w    *world
	from *node
	addr string
}

func (n *node) Peer(addr string) relay.Peer { return link{n.w, n, addr} }

func call[Q, A any](ctx context.Context, l link, method string, q Q, serve func(relay.Peer, context.Context, Q) (A, error)) (A, error) {
	var none A
	l.w.pass(method, beforeSend, l.from)
	l.w.mu.Lock()
	to, ok := l.w.nodes[l.addr]
	twice := l.w.duplicate
	l.w.mu.Unlock()
	if !ok || to == l.from {
		return none, fmt.Errorf("no listener at %s", l.addr)
	}
	if err := l.w.travel(ctx, l.from, to); err != nil {
		return none, err
	}
	if twice {
		l.w.wg.Go(func() { _, _ = serve(to.replica.Relay(), ctx, q) })
	}
	a, err := serve(to.replica.Relay(), ctx, q)
	if err != nil {
		return none, err
	}
	l.w.pass(method, beforeAnswer, to)
	if to.dead() {
		return none, fmt.Errorf("connection to %s reset", to.instance)
	}
	if err := to.unpaused(ctx); err != nil {
		return none, err
	}
	l.w.mu.Lock()
	late := lookup(l.w.answerDelay, l.from)
	l.w.mu.Unlock()
	if err := sleep(ctx, late); err != nil {
		return none, err
	}
	if err := l.w.travel(ctx, to, l.from); err != nil {
		return none, err
	}
	l.w.pass(method, afterAnswer, l.from)
	return a, ctx.Err()
}

func (l link) Pull(ctx context.Context, q relay.PullRequest) (relay.PullAnswer, error) {
	return call(ctx, l, "Pull", q, relay.Peer.Pull)
}

func (l link) Snapshot(ctx context.Context, q relay.SnapshotRequest) (relay.SnapshotAnswer, error) {
	return call(ctx, l, "Snapshot", q, relay.Peer.Snapshot)
}

func (l link) Contact(ctx context.Context, q relay.ContactRequest) (relay.ContactAnswer, error) {
	return call(ctx, l, "Contact", q, relay.Peer.Contact)
}

// logClient is one instance's access to the log.
type logClient struct{ n *node }

func (c logClient) reach(ctx context.Context) error {
	if err := c.n.unpaused(ctx); err != nil {
		return err
	}
	c.n.w.mu.Lock()
	down, delay := lookup(c.n.w.logDown, c.n), lookup(c.n.w.logDelay, c.n)
	c.n.w.mu.Unlock()
	if err := sleep(ctx, delay+time.Millisecond); err != nil {
		return err
	}
	if down || c.n.dead() {
		return platform.ErrUnavailable
	}
	return nil
}

func (c logClient) Append(ctx context.Context, stream string, entries []json.RawMessage) (platform.Offset, error) {
	w := c.n.w
	w.pass("Append", beforeSend, c.n)
	if err := c.reach(ctx); err != nil {
		return 0, err
	}
	first, err := w.append(stream, entries)
	w.pass("Append", beforeAnswer, c.n)
	w.mu.Lock()
	lose := w.loseAppend
	w.mu.Unlock()
	if lose {
		return 0, platform.ErrUnavailable
	}
	if err := c.reach(ctx); err != nil {
		return 0, err
	}
	if stream == "control" {
		w.learned(c.n, first)
		w.mu.Lock()
		then := w.acknowledged
		w.acknowledged = nil
		w.mu.Unlock()
		if then != nil {
			then()
		}
	}
	w.pass("Append", afterAnswer, c.n)
	return first, err
}

// learned notes that an instance knows of a record, unless it can tell nobody.
func (w *world) learned(n *node, offset platform.Offset) {
	w.mu.Lock()
	isolated := w.cut[[2]string{n.instance, "all"}]
	w.mu.Unlock()
	if !isolated {
		w.hist.known(w.now(), offset)
	}
}

// append takes effect now and is noted for the checker, in the log's order.
func (w *world) append(stream string, entries []json.RawMessage) (platform.Offset, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first, err := w.log.Append(w.ctx, stream, entries)
	if err == nil && stream == "control" {
		for i, data := range entries {
			w.hist.decided(first+platform.Offset(i), data)
		}
	}
	return first, err
}

func (c logClient) Read(ctx context.Context, stream string, after platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	c.n.w.pass("Read", beforeSend, c.n)
	if err := c.reach(ctx); err != nil {
		return platform.Page{}, err
	}
	page, err := c.n.w.log.Read(ctx, stream, after, limit, wait)
	c.n.w.pass("Read", beforeAnswer, c.n)
	c.n.w.mu.Lock()
	slow := c.n.w.readDelay
	c.n.w.mu.Unlock()
	if err := sleep(ctx, slow); err != nil {
		return platform.Page{}, err
	}
	if err := c.reach(ctx); err != nil {
		return platform.Page{}, err
	}
	if stream == "control" {
		for _, rec := range page.Records {
			c.n.w.learned(c.n, rec.Offset)
		}
	}
	c.n.w.pass("Read", afterAnswer, c.n)
	return page, err
}

// listClient is one instance's access to the instance list.
type listClient struct{ n *node }

func (c listClient) List(ctx context.Context) ([]platform.Listed, error) {
	w := c.n.w
	w.pass("List", beforeSend, c.n)
	defer w.pass("List", afterAnswer, c.n)
	defer w.pass("List", beforeAnswer, c.n)
	w.mu.Lock()
	defer w.mu.Unlock()
	var listed []platform.Listed
	for addr, n := range w.nodes {
		if (n.dead() && !w.listKeepsDead) || w.listLacks {
			continue
		}
		listed = append(listed, platform.Listed{Instance: n.instance, Addr: addr, DataCentre: n.dc, State: platform.ListedLive})
	}
	slices.SortFunc(listed, func(a, b platform.Listed) int { return len(a.Addr) - len(b.Addr) })
	return listed, ctx.Err()
}
