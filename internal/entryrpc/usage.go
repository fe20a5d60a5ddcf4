package entryrpc

import (
	"context"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/usage"
)

// UsageClient asks other entry instances for their counts. It calls instances that lately did not
// answer as well: their counts are needed as soon as they answer again.
type UsageClient struct {
	client *Client
}

// NewUsageClient returns a client that uses the connections of c.
func NewUsageClient(c *Client) *UsageClient { return &UsageClient{client: c} }

var _ usage.Peers = (*UsageClient)(nil)

// Names implements usage.Peers.
func (u *UsageClient) Names() []string {
	if v := u.client.view(); v != nil {
		return v.EntryNames()
	}
	return nil
}

// Usage implements usage.Peers.
func (u *UsageClient) Usage(ctx context.Context, name string, req usage.Request) (usage.Answer, error) {
	var a usage.Answer
	v := u.client.view()
	if v == nil {
		return a, errors.New("the members are not known yet")
	}
	m, ok := v.Members[name]
	if !ok || m.Role != fleet.RoleEntry {
		return a, errors.Errorf("%s is no entry instance", name)
	}
	err := u.client.peers.Call(ctx, m.Addr, pathUsage, req, &a)
	return a, err
}
