package peer

import (
	"crypto/tls"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"
)

var (
	errResponseTooLong = errors.Errorf("the response exceeds %d bytes", maxResponseBytes)
	errTooManyChunks   = errors.Errorf("the sizes of the response's chunks exceed %d bytes", maxChunkSizeBytes)
)

// ErrConnUnusable is the error of a strict client whose request was not sent, because the
// connection had ended or had bytes that belong to no response. Another call uses another
// connection.
var ErrConnUnusable = errors.New("the connection has ended or has bytes that belong to no response")

// boundedDialer opens connections that limit the length of each response.
type boundedDialer struct {
	responseDialer
	// strict makes the connections check for bytes that belong to no response.
	strict bool
}

// DialConnection implements network.Dialer.
func (d boundedDialer) DialConnection(network, addr string, timeout time.Duration, c *tls.Config) (network.Conn, error) {
	conn, err := d.responseDialer.DialConnection(network, addr, timeout, c)
	if err != nil {
		return nil, err
	}
	return &boundedConn{responseConn: conn.(*responseConn), strict: d.strict}, nil
}

// boundedConn fails reads once the response to the last request is longer than
// maxResponseBytes, or in too many chunks. Hertz limits only the body of a response.
type boundedConn struct {
	*responseConn
	// consumed is how many bytes of the response were read.
	consumed int
	// chunkSizes is how many bytes of the response were read one by one. Hertz does so only for
	// the sizes of chunks.
	chunkSizes int
	// strict makes Flush fail if bytes have arrived that belong to no response. used tells
	// that there was a request before.
	strict, used bool
}

// maxChunkSizeBytes limits the time that a response of many tiny chunks takes. One of
// maxResponseBytes in chunks of 1 KiB has less.
const maxChunkSizeBytes = 64 << 10

// Flush sends a request, after which a new response is due.
func (c *boundedConn) Flush() error {
	if c.strict && c.used && !c.idle() {
		return ErrConnUnusable
	}
	c.consumed, c.chunkSizes, c.used = 0, 0, true
	return c.responseConn.Flush()
}

func (c *boundedConn) check() error {
	if c.consumed+c.responseConn.Len() > maxResponseBytes {
		return errResponseTooLong
	}
	return nil
}

// Peek implements network.Reader. It never fails for bytes that Len reports; hertz
// panics otherwise.
func (c *boundedConn) Peek(n int) ([]byte, error) {
	if n > c.responseConn.Len() {
		if err := c.check(); err != nil {
			return nil, err
		}
	}
	return c.responseConn.Peek(n)
}

// Skip implements network.Reader.
func (c *boundedConn) Skip(n int) error {
	c.consumed += n
	return c.responseConn.Skip(n)
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	n, err := c.responseConn.Read(p)
	c.consumed += n
	return n, err
}

// ReadByte implements network.Reader.
func (c *boundedConn) ReadByte() (byte, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	if c.chunkSizes++; c.chunkSizes > maxChunkSizeBytes {
		return 0, errTooManyChunks
	}
	c.consumed++
	return c.responseConn.ReadByte()
}

// ReadBinary implements network.Reader.
func (c *boundedConn) ReadBinary(n int) ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	c.consumed += n
	return c.responseConn.ReadBinary(n)
}
