package peer_test

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// failingListener fails to accept some connections, as in a process that is out of
// descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServerOutOfDescriptors guards against a server that accepts no connections any more
// after one could not be accepted.
func TestServerOutOfDescriptors(t *testing.T) {
	check := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	failing := &failingListener{Listener: ln}
	failing.failures.Store(4)
	h := peer.NewServer(failing, peer.ServerOptions{MaxBodyBytes: 1 << 20})
	h.GET("/quick", func(context.Context, *app.RequestContext) {})
	ended := make(chan error, 1)
	go func() { ended <- h.Run() }()
	served := make(chan struct{})
	go func() {
		defer close(served)
		c, err := net.Dial("tcp", ln.Addr().String())
		check.NoErr(err)
		defer func() { _ = c.Close() }()
		exchange(t, c, bufio.NewReader(c), "/quick")
	}()
	select {
	case <-served:
	case err := <-ended:
		t.Fatalf("the server has ended: %v", err)
	}
	check.NoErr(h.Close())
	<-ended
}
