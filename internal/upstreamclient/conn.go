package upstreamclient

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/jacinthbend/jacinthbend/internal/strictconn"
)

// Sizes of a connection's buffers. An event of a stream has a few hundred bytes.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	*strictconn.Conn
	r *bufio.Reader
	w *bufio.Writer
	// lastID is the id of the last request on the connection.
	lastID string
	// idleSince is when the last response was complete.
	idleSince time.Time
	// idleTimeout is the upstream's idle timeout of the connection; 0 is unknown.
	idleTimeout time.Duration
}

func newConn(c *strictconn.Conn) *conn {
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBufferBytes), w: bufio.NewWriterSize(c, writeBufferBytes)}
}

// readHead reads the status line and header of a response.
func (c *conn) readHead(method string) (*http.Response, error) {
	return http.ReadResponse(c.r, &http.Request{Method: method})
}

// discard reads the rest of a response that nobody needs. complete tells that it reached the end within
// the limits; err that the rest is not valid.
func (c *conn) discard(body io.Reader) (complete bool, err error) {
	if err := c.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return false, err
	}
	n, err := io.CopyN(io.Discard, body, maxDiscardedBytes)
	reset := c.SetReadDeadline(time.Time{})
	switch {
	case err == io.EOF:
		return n < maxDiscardedBytes && reset == nil, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	default:
		return false, err
	}
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

// hasUnread reports whether bytes follow the last response. They belong to no request.
func (c *conn) hasUnread() bool { return c.r.Buffered() > 0 || c.HasUnread() }

// alive reports whether an idle connection is open and has no unread bytes.
func (c *conn) alive() bool { return c.r.Buffered() == 0 && c.Idle() }

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
