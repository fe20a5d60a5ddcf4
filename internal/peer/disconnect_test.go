package peer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// TestHandlerGoesOnAfterDisconnect guards against handlers that run to their end although
// the other side has closed the connection, also after an earlier request on it.
func TestHandlerGoesOnAfterDisconnect(t *testing.T) {
	check := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	addr := startServer(t, func(ctx context.Context, _ *app.RequestContext) {
		close(started)
		<-ctx.Done()
		close(ended)
	})
	c, err := net.Dial("tcp", addr)
	check.NoErr(err)
	r := bufio.NewReader(c)
	exchange(t, c, r, "/quick")
	_, err = io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	check.NoErr(err)
	<-started
	left := time.Now()
	check.NoErr(c.Close())
	<-ended
	check.True(time.Since(left) < 500*time.Millisecond)
}

// TestPipelinedRequests guards against a request that is lost, or a handler that ends,
// because its bytes arrive while the request before it is handled.
func TestPipelinedRequests(t *testing.T) {
	check := is.New(t)
	addr := startServer(t, func(ctx context.Context, c *app.RequestContext) {
		select {
		case <-ctx.Done():
			c.Status(http.StatusInternalServerError)
		case <-time.After(50 * time.Millisecond):
		}
	})
	c, err := net.Dial("tcp", addr)
	check.NoErr(err)
	defer func() { _ = c.Close() }()
	const requests = 3
	for range requests {
		_, err = io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		check.NoErr(err)
		<-time.After(5 * time.Millisecond)
	}
	r := bufio.NewReader(c)
	for range requests {
		resp, err := http.ReadResponse(r, nil)
		check.NoErr(err)
		check.Equal(resp.StatusCode, http.StatusOK)
	}
	exchange(t, c, r, "/quick")
}

// TestHalfClosedCaller guards against a handler that goes on for a caller that has closed only its
// direction of the connection: it cannot be told apart from one that has left.
func TestHalfClosedCaller(t *testing.T) {
	check := is.New(t)
	ended := make(chan struct{})
	addr := startServer(t, func(ctx context.Context, _ *app.RequestContext) {
		<-ctx.Done()
		close(ended)
	})
	c, err := net.Dial("tcp", addr)
	check.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	check.NoErr(err)
	left := time.Now()
	check.NoErr(c.(*net.TCPConn).CloseWrite())
	<-ended
	check.True(time.Since(left) < 500*time.Millisecond)
}

// startServer starts a server that answers /quick at once and /slow with slow.
func startServer(t *testing.T, slow app.HandlerFunc) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	h.GET("/quick", func(context.Context, *app.RequestContext) {})
	h.GET("/slow", slow)
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	return ln.Addr().String()
}

func exchange(t *testing.T, c net.Conn, r *bufio.Reader, path string) {
	check := is.New(t)
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	check.NoErr(err)
	resp, err := http.ReadResponse(r, nil)
	check.NoErr(err)
	check.Equal(resp.StatusCode, http.StatusOK)
}
