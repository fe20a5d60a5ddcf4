package upstreamclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Sizes of a connection's buffers. An event of a stream has a few hundred bytes.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	// in bounds what r reads from the connection.
	in *limitedReader
	r  *bufio.Reader
	w  *bufio.Writer
	// lastID is the id of the last request on the connection.
	lastID string
	// idleSince is when the last response was complete.
	idleSince time.Time
	// idleTimeout is the upstream's idle timeout of the connection; 0 is unknown.
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	in := &limitedReader{r: c}
	return &conn{Conn: c, in: in, r: bufio.NewReaderSize(in, readBufferBytes), w: bufio.NewWriterSize(c, writeBufferBytes)}
}

// readHead reads the status line and header of a response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.in.limitHead()
	defer c.in.unlimit()
	return http.ReadResponse(c.r, &http.Request{Method: method})
}

// discard reads the rest of a response that nobody needs, and reports whether it
// reached the end within the limits.
func (c *conn) discard(body io.Reader) bool {
	if err := c.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return false
	}
	n, err := io.CopyN(io.Discard, body, maxDiscardedBytes)
	complete := err == io.EOF && n < maxDiscardedBytes
	return c.SetReadDeadline(time.Time{}) == nil && complete
}

// mayCarry reports whether an idle connection may be used for r, which is not the last request
// that it carried: a late second copy of that response would carry the expected id.
func (c *conn) mayCarry(r *Request, now time.Time) bool {
	idle := now.Sub(c.idleSince)
	return c.lastID != r.ID && idle < c.maxIdle() && (!r.FreshConn || idle <= freshMaxIdle)
}

// maxIdle is how long after a response the connection may be used.
func (c *conn) maxIdle() time.Duration {
	if c.idleTimeout == 0 {
		return defaultMaxIdle
	}
	return max(defaultMaxIdle, c.idleTimeout-idleTimeoutMargin)
}

// alive reports whether an idle connection is open and has no unread bytes. Bytes
// that arrived while it was idle belong to no request.
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

// abort closes a connection with an unfinished request by a TCP reset, which drops
// bytes of the request that are still buffered or in flight. After an ordinary
// close they could still reach the upstream, at any later time.
func (c *conn) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// If SetLinger fails, the close is an ordinary one, which is acceptable.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Socket options of connections to upstreams.
const (
	// unackedTimeout closes a connection if the peer does not acknowledge sent bytes
	// for this long. Round trips within a region take a few ms; retransmissions start
	// after 200 ms.
	unackedTimeout = 900 * time.Millisecond
	// Keep-alive probes detect a peer that stops responding while a request runs. The
	// kernel takes both times in whole seconds.
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
