package peer

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"syscall"
	"time"

	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/strictconn"
)

// responseDialer opens the connections of all clients of this package. They deliver only valid
// responses. Hertz's own connections can't be put on top of another one.
type responseDialer struct {
	// perRead makes a read timeout the limit of each read instead of the time until all is read.
	perRead bool
}

var _ network.Dialer = responseDialer{}

var errNoTLS = errors.New("TLS is not supported")

// DialConnection implements network.Dialer.
func (d responseDialer) DialConnection(_, addr string, timeout time.Duration, c *tls.Config) (network.Conn, error) {
	if c != nil {
		return nil, errNoTLS
	}
	conn, err := strictconn.Dial(context.Background(), &net.Dialer{Timeout: timeout}, addr)
	if err != nil {
		return nil, err
	}
	// Hertz takes any error for the end of a body without a length.
	conn.DelimitBodies()
	return &responseConn{Conn: conn, Writer: network.NewWriter(conn), perRead: d.perRead}, nil
}

// DialTimeout implements network.Dialer. Hertz calls it for proxies only.
func (responseDialer) DialTimeout(string, string, time.Duration, *tls.Config) (net.Conn, error) {
	return nil, errors.New("proxies are not supported")
}

// AddTLS implements network.Dialer.
func (responseDialer) AddTLS(network.Conn, *tls.Config) (network.Conn, error) { return nil, errNoTLS }

// responseConn is a client's connection.
type responseConn struct {
	*strictconn.Conn
	network.Writer
	in inputBuffer

	perRead     bool
	readTimeout time.Duration
}

var _ network.Conn = (*responseConn)(nil)

// SetReadTimeout implements network.Conn.
func (c *responseConn) SetReadTimeout(t time.Duration) error {
	c.readTimeout = t
	return c.SetReadDeadline(deadline(t))
}

// SetWriteTimeout implements network.Conn.
func (c *responseConn) SetWriteTimeout(t time.Duration) error {
	return c.SetWriteDeadline(deadline(t))
}

// deadline returns the time after t, and no deadline if t is not positive.
func deadline(t time.Duration) time.Time {
	if t <= 0 {
		return time.Time{}
	}
	return time.Now().Add(t)
}

// Len implements network.Reader.
func (c *responseConn) Len() int { return c.in.size() }

// Peek implements network.Reader. If it returns fewer than n bytes, it also returns an error.
func (c *responseConn) Peek(n int) ([]byte, error) {
	for c.in.size() < n {
		c.in.ensure(n)
		read, err := c.read(c.in.free())
		c.in.end += read
		if read == 0 && err != nil {
			return c.in.unread(), err
		}
	}
	return c.in.unread()[:n], nil
}

// read reads from the connection.
func (c *responseConn) read(p []byte) (int, error) {
	if c.perRead && c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Skip implements network.Reader.
func (c *responseConn) Skip(n int) error {
	if n > c.in.size() {
		return errors.Errorf("skip %d of %d bytes", n, c.in.size())
	}
	c.in.start += n
	return nil
}

// Release implements network.Reader.
func (c *responseConn) Release() error {
	if c.in.size() == 0 {
		c.in.recycle()
	}
	return nil
}

// Read implements net.Conn.
func (c *responseConn) Read(p []byte) (int, error) {
	if c.in.size() == 0 {
		return c.read(p)
	}
	n := copy(p, c.in.unread())
	return n, c.Skip(n)
}

// ReadByte implements network.Reader.
func (c *responseConn) ReadByte() (byte, error) {
	p, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	first := p[0]
	return first, c.Skip(1)
}

// ReadBinary implements network.Reader.
func (c *responseConn) ReadBinary(n int) ([]byte, error) {
	p, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), p...), c.Skip(n)
}

// idle reports whether the connection is open and nothing has arrived since the last response.
func (c *responseConn) idle() bool { return c.in.size() == 0 && c.Idle() }

// ToHertzError implements network.ErrorNormalization. After ErrConnectionClosed, hertz reads the
// response that a server may have sent before it closed or reset the connection.
func (c *responseConn) ToHertzError(err error) error {
	switch {
	case errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ENOTCONN):
		return herrors.ErrConnectionClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return herrors.ErrTimeout
	default:
		return err
	}
}
