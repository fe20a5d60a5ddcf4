package peer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"
)

// TestCallerThatNeverEndsItsRequest guards against callers that hold a connection by sending
// a byte now and then, in the header, in the body, or after a complete request, and against
// cutting a slow caller or a response that takes longer than the limit.
func TestCallerThatNeverEndsItsRequest(t *testing.T) {
	const limit, pause = 400 * time.Millisecond, 20 * time.Millisecond
	for name, row := range map[string]struct {
		begin string
		// complete is sent first and answered on the same connection.
		complete bool
	}{
		"header":          {"GET / HTTP/1.1\r\nHost: a\r\nX: ", false},
		"body":            {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n", false},
		"second request":  {"GET / HTTP/1.1\r\nHost: a\r\nX: ", true},
		"only some bytes": {"G", false},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			check.NoErr(err)
			h := NewServer(ln, ServerOptions{MaxBodyBytes: 1 << 20, ReadLimit: limit})
			h.Any("/*path", func(_ context.Context, c *app.RequestContext) {
				time.Sleep(2 * limit) // the limit does not apply to the response
				c.String(http.StatusOK, "ok")
			})
			go func() { _ = h.Run() }()
			t.Cleanup(func() { _ = h.Close() })
			c, err := net.Dial("tcp", ln.Addr().String())
			check.NoErr(err)
			defer func() { _ = c.Close() }()
			if row.complete {
				_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n"))
				check.NoErr(err)
				time.Sleep(limit / 2) // slow, but within the limit
				_, err = c.Write([]byte("\r\n"))
				check.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				check.NoErr(err)
				check.Equal(resp.StatusCode, http.StatusOK)
			}
			_, err = c.Write([]byte(row.begin))
			check.NoErr(err)
			start := time.Now()
			for err == nil && time.Since(start) < 10*limit {
				time.Sleep(pause)
				_, err = c.Write([]byte("x"))
			}
			check.True(err != nil) // the connection is closed
			check.True(time.Since(start) >= limit-pause)
		})
	}
}

// TestConnectionOpenedAheadOfRequest guards against closing a connection whose first request
// begins later than a request may take: the limit counts from its first byte.
func TestConnectionOpenedAheadOfRequest(t *testing.T) {
	const limit = 200 * time.Millisecond
	check := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := NewServer(ln, ServerOptions{MaxBodyBytes: 1 << 20, ReadLimit: limit})
	h.Any("/*path", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok") })
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	c, err := net.Dial("tcp", ln.Addr().String())
	check.NoErr(err)
	defer func() { _ = c.Close() }()
	<-time.After(2 * limit)
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	check.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	check.NoErr(err)
	check.Equal(resp.StatusCode, http.StatusOK)
}
