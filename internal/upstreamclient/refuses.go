package upstreamclient

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// Refuses reports whether the machine at addr answers that nothing listens there, which
// tells a process that has ended from a connection that has. A machine that does not
// answer, or an upstream that accepts or resets the connection, does not count.
func (c *Client) Refuses(ctx context.Context, addr string) bool {
	cn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = cn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
