package peerapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/relay"
)

// Paths of the relay.
const (
	pathPull        = "/relay/records"
	pathSnapshot    = "/relay/snapshot"
	pathRelayStatus = "/relay/contact"
)

// RegisterRelay registers the handlers of the relay protocol.
func RegisterRelay(r *route.Engine, p relay.Peer) {
	handle(r, pathPull, p.Pull)
	handle(r, pathSnapshot, p.Snapshot)
	handle(r, pathRelayStatus, p.Status)
}

// Dialer returns a relay.Dialer that uses this client.
func (c *Client) Dialer() relay.Dialer { return dialer{c} }

type dialer struct {
	client *Client
}

// Peer implements relay.Dialer.
func (d dialer) Peer(addr string) relay.Peer { return relayPeer{client: d.client, addr: addr} }

// relayPeer is the client of another instance's relay.
type relayPeer struct {
	client *Client
	addr   string
}

// Pull implements relay.Peer.
func (p relayPeer) Pull(ctx context.Context, req relay.PullRequest) (relay.PullResponse, error) {
	return call[relay.PullResponse](ctx, p.client, p.addr, pathPull, req)
}

// Snapshot implements relay.Peer.
func (p relayPeer) Snapshot(ctx context.Context, req relay.SnapshotRequest) (relay.SnapshotResponse, error) {
	return call[relay.SnapshotResponse](ctx, p.client, p.addr, pathSnapshot, req)
}

// Status implements relay.Peer.
func (p relayPeer) Status(ctx context.Context, req relay.StatusRequest) (relay.StatusResponse, error) {
	return call[relay.StatusResponse](ctx, p.client, p.addr, pathRelayStatus, req)
}
