package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// TestReadIntoReleasedBuffer guards against a read that senses disconnections and goes on with
// the connection's buffer after the response has failed and the buffer is in use elsewhere. The
// race detector notices it.
func TestReadIntoReleasedBuffer(t *testing.T) {
	check := is.New(t)
	failed := make(chan struct{}, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Nanosecond})
	t.Cleanup(func() { _ = h.Close() })
	h.GET("/slow", func(_ context.Context, c *app.RequestContext) {
		c.SetBodyStream(io.LimitReader(zeros{}, 64<<20), -1)
		failed <- struct{}{}
	})
	go func() { _ = h.Run() }()
	for range 20 {
		c, err := net.Dial("tcp", ln.Addr().String())
		check.NoErr(err)
		_, err = io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		check.NoErr(err)
		<-failed
		// Bytes of the next request arrive while the connection is being closed.
		_, _ = io.WriteString(c, "GET /quick HTTP/1.1\r\n")
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// panickingListener accepts connections from which reading panics.
type panickingListener struct{ net.Listener }

func (l panickingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return panickingConn{c}, err
}

type panickingConn struct{ net.Conn }

func (panickingConn) Read([]byte) (int, error) { panic("a test panic") }

// TestPanicOutsideHandler guards against a panic while a request is parsed that ends the
// process.
func TestPanicOutsideHandler(t *testing.T) {
	check := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(panickingListener{ln}, peer.ServerOptions{MaxBodyBytes: 1 << 20})
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	c, err := net.Dial("tcp", ln.Addr().String())
	check.NoErr(err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	check.NoErr(err)
	check.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.ReadAll(c)
	var timeout net.Error
	check.True(!errors.As(err, &timeout) || !timeout.Timeout()) // the connection is closed
}
