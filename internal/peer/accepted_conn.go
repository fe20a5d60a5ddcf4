package peer

import (
	"context"
	"net"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
)

// acceptedConn is a connection with its part of the budget.
type acceptedConn struct {
	net.Conn
	held *clientbudget.Conn
}

// acceptedKey is the key of the acceptedConn in the context of a connection.
type acceptedKey struct{}

// newAcceptedConn returns nil if the budget has no place for the connection.
func newAcceptedConn(c net.Conn, port *clientbudget.Port) *acceptedConn {
	held := port.Open(kernelQueues{c}, func(reason clientbudget.Reason) {
		countRefused(reason, c.RemoteAddr().String())
		_ = c.Close()
	})
	if held == nil {
		return nil
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// The kernel would let the buffers grow to several MB. On an error they stay as they are.
		_ = tcp.SetReadBuffer(clientbudget.ReceiveBufferBytes)
		_ = tcp.SetWriteBuffer(clientbudget.SendBufferBytes)
	}
	return &acceptedConn{c, held}
}

// acceptedContext is called by hertz for each accepted connection.
func acceptedContext(c net.Conn) context.Context {
	return context.WithValue(context.Background(), acceptedKey{}, c)
}
