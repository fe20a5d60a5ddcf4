package peerapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/relay"
)

// Paths of the relay.
const (
	pathPull     = "/relay/records"
	pathSnapshot = "/relay/snapshot"
	pathContact  = "/relay/contact"
)

// RegisterRelay serves the relay to other instances.
func RegisterRelay(r *route.Engine, p relay.Peer) {
	handle(r, pathPull, p.Pull)
	handle(r, pathSnapshot, p.Snapshot)
	handle(r, pathContact, p.Status)
}

// Dialer returns the relay's view of other instances.
func (c *Client) Dialer() relay.Dialer { return dialer{c} }

type dialer struct {
	client *Client
}

// Peer implements relay.Dialer.
func (d dialer) Peer(addr string) relay.Peer { return relayPeer{client: d.client, addr: addr} }

// relayPeer is another instance's relay.
type relayPeer struct {
	client *Client
	addr   string
}

// Pull implements relay.Peer.
func (p relayPeer) Pull(ctx context.Context, q relay.PullRequest) (relay.PullResponse, error) {
	return call[relay.PullResponse](ctx, p.client, p.addr, pathPull, q)
}

// Snapshot implements relay.Peer.
func (p relayPeer) Snapshot(ctx context.Context, q relay.SnapshotRequest) (relay.SnapshotResponse, error) {
	return call[relay.SnapshotResponse](ctx, p.client, p.addr, pathSnapshot, q)
}

// Status implements relay.Peer.
func (p relayPeer) Status(ctx context.Context, q relay.StatusRequest) (relay.StatusResponse, error) {
	return call[relay.StatusResponse](ctx, p.client, p.addr, pathContact, q)
}
