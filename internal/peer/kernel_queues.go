package peer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// kernelQueues tells what the kernel holds for a connection.
type kernelQueues struct{ conn net.Conn }

// Unread returns how many bytes were received and not read by this process, 0 if unknown.
func (q kernelQueues) Unread() int { return q.query(unix.SIOCINQ) }

// Unsent returns how many bytes were written and not acknowledged by the other side, 0 if unknown.
func (q kernelQueues) Unsent() int { return q.query(unix.SIOCOUTQ) }

func (q kernelQueues) query(request uint) int {
	c, ok := q.conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), request) }); err != nil {
		return 0
	}
	return max(0, n)
}
