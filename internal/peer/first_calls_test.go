package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConcurrentFirstCalls guards against calls to an address that is new to the client and
// that set the limits of its connections while another call uses them. The race detector
// reports it.
func TestConcurrentFirstCalls(t *testing.T) {
	check := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := NewServer(ln, ServerOptions{MaxBodyBytes: 1 << 20})
	type message struct{}
	Handle(h.Engine, "/x", func(context.Context, message) (message, error) { return message{}, nil })
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	for range 60 {
		c, err := NewClient(time.Second)
		check.NoErr(err)
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				var resp message
				if err := c.Call(t.Context(), ln.Addr().String(), "/x", message{}, &resp); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	}
}
