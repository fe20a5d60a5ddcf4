package upstreamclient

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// ProbeResult is what a connection attempt tells about the process at an address.
type ProbeResult int

// Results of a probe.
const (
	// Unknown means that nothing is certain: the machine did not answer, the attempt ended early,
	// or this process has no descriptors left.
	Unknown ProbeResult = iota
	// Listens means that a process listens at the address. It may reset the connection later.
	Listens
	// Refuses means that the machine answered that nothing listens at the address.
	Refuses
)

// Probe connects to addr, to tell a process that has ended from a connection that has.
func (c *Client) Probe(ctx context.Context, addr string) ProbeResult {
	cn, err := c.dialer.DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		_ = cn.Close()
		return Listens
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refuses
	default:
		return Unknown
	}
}
