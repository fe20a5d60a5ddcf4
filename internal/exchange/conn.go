package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Sizes of a connection's buffers. An event of a stream has some hundred bytes.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// conn is one connection to an upstream. One request uses it at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
	// idleSince is when the last answer was complete.
	idleSince time.Time
	// keepFor is how long the upstream keeps the connection idle, as far as known.
	keepFor time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBufferBytes), w: bufio.NewWriterSize(c, writeBufferBytes)}
}

// alive reports whether an idle connection is open and silent. Bytes that
// arrived while it was idle belong to no request.
func (c *conn) alive() bool {
	if c.r.Buffered() > 0 {
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
	alive := false
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && alive
}

// abort closes a connection on which a request is not finished, with a reset.
// Bytes of the request that wait somewhere on the way are dropped then; after an
// ordinary close they would still reach the upstream, however late.
func (c *conn) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// Without the option the close is an ordinary one, which is still right.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Socket options of connections to upstreams.
const (
	// unackedTimeout ends a connection whose bytes are not acknowledged. Round
	// trips inside a region take a few ms; retransmissions start at 200 ms.
	unackedTimeout = 900 * time.Millisecond
	// Keep-alive probes find a peer that went silent while a request runs. The
	// kernel counts both in whole seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

func setUnackedTimeout(_, _ string, rc syscall.RawConn) error {
	var opt error
	err := rc.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return opt
}
