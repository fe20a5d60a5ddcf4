package peer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"
)

// TestReadIntoReleasedBuffer guards against a read that senses disconnections and goes on with
// the connection's buffer after the response has failed and the buffer is in use elsewhere. The
// race detector notices it.
func TestReadIntoReleasedBuffer(t *testing.T) {
	check := is.New(t)
	failed := make(chan struct{}, 1)
	addr := startServer(t, func(_ context.Context, c *app.RequestContext) {
		check.NoErr(c.GetConn().SetWriteTimeout(time.Nanosecond))
		c.SetBodyStream(io.LimitReader(zeros{}, 64<<20), -1)
		failed <- struct{}{}
	})
	for range 20 {
		c, err := net.Dial("tcp", addr)
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
