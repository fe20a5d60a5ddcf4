package peer

import (
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
)

// watchedConn limits the time of each write. While a request is handled it reads ahead, to notice
// that the other side has disconnected. Hertz's own connection does too, but goes on reading into
// a buffer that it has released if a response fails, and the buffer may then hold another
// connection's bytes.
type watchedConn struct {
	network.Conn
	// writeTimeout is the longest time of one write; 0 is no limit.
	writeTimeout time.Duration
	// disconnected is called when the read fails.
	disconnected func()
	// ended is closed when the read has ended; nil if there is none.
	ended chan struct{}
}

// DetectConnectionClose starts to read. Hertz calls it before the handler of a request.
func (c *watchedConn) DetectConnectionClose() {
	_ = c.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	c.ended = ended
	background.Go(zap.L(), "sense disconnection", func() {
		defer close(ended)
		// Bytes of the next request stay in the buffer.
		_, err := c.Peek(1)
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			c.disconnected()
		}
	})
}

// AbortBlockingRead ends the read. Hertz calls it before it sends a response.
func (c *watchedConn) AbortBlockingRead() {
	if c.ended == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.ended
	c.ended = nil
}

// Release implements network.Reader.
func (c *watchedConn) Release() error {
	c.AbortBlockingRead()
	return c.Conn.Release()
}

// Flush implements network.Writer.
func (c *watchedConn) Flush() error {
	_ = c.SetWriteTimeout(c.writeTimeout)
	return c.Conn.Flush()
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	_ = c.SetWriteTimeout(c.writeTimeout)
	return c.Conn.Write(p)
}
