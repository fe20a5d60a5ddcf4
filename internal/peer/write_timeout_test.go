package peer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// TestWriteToStalledReader guards against a response that never ends because the other side has
// stopped reading, and against cutting a stream that takes longer than the limit of one write.
func TestWriteToStalledReader(t *testing.T) {
	const limit = 200 * time.Millisecond
	for name, row := range map[string]struct {
		size   int
		pause  time.Duration
		writes int
		reads  bool
	}{
		"stalled":        {size: 1 << 20, writes: 64},
		"long and sound": {size: 10, pause: limit / 4, writes: 12, reads: true},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			check.NoErr(err)
			h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: limit})
			result := make(chan error, 1)
			h.GET("/", func(_ context.Context, c *app.RequestContext) {
				c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
				var err error
				for i := 0; i < row.writes && err == nil; i++ {
					if _, err = c.Write(make([]byte, row.size)); err == nil {
						err = c.Flush()
					}
					time.Sleep(row.pause)
				}
				result <- err
			})
			go func() { _ = h.Run() }()
			t.Cleanup(func() { _ = h.Close() })
			c, err := net.Dial("tcp", ln.Addr().String())
			check.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			check.NoErr(err)
			if row.reads {
				go func() { _, _ = io.Copy(io.Discard, c) }()
			}
			select {
			case err := <-result:
				check.Equal(err == nil, row.reads)
			case <-time.After(20 * limit):
				t.Fatal("the response has not ended")
			}
		})
	}
}
