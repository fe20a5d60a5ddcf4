package strictconn

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// HasUnread reports whether bytes have been read from the connection and not delivered. After a response
// they belong to no request.
func (c *Conn) HasUnread() bool { return c.start < c.end || len(c.ready) > 0 }

// Idle reports whether the connection is open and nothing has arrived since the last response.
func (c *Conn) Idle() bool {
	if c.HasUnread() || c.inBody || c.headBytes > 0 || c.err != nil {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && idle
}

// Abort closes the connection by a TCP reset, which drops bytes that are still buffered or in flight.
// After an ordinary close they could still reach the peer, at any later time.
func (c *Conn) Abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// If SetLinger fails, the close is an ordinary one, which is acceptable.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
