package peer

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
)

// transport is hertz's standard transport with connections that sense disconnections. Its
// netpoll transport waits in a blocking system call, which on one core can keep the other
// goroutines from running for a long time.
type transport struct {
	network.Transporter
	// idleTimeout bounds the time until the first byte of a connection, and readTimeout the
	// time between two bytes of its first request. Hertz sets them only after that request.
	idleTimeout, readTimeout time.Duration
	limits                   connLimits
}

func newTransport(o *config.Options, limits connLimits) network.Transporter {
	return transport{standard.NewTransporter(o), o.IdleTimeout, o.ReadTimeout, limits}
}

// ListenAndServe implements network.Transporter.
func (t transport) ListenAndServe(serve network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, c any) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		conn := &watchedConn{Conn: c.(network.Conn), limits: t.limits, disconnected: cancel}
		if accepted, ok := ctx.Value(acceptedKey{}).(*acceptedConn); ok {
			conn.raw, conn.held = accepted.Conn, accepted.held
			defer accepted.held.Close()
		}
		var err error
		// The recovery of the server covers only its handlers.
		panicked := background.Call(zap.L(), "connection", func() {
			if t.awaitRequest(conn) {
				err = serve(ctx, conn)
			}
		})
		if panicked {
			_ = conn.Close()
		}
		return err
	})
}

// awaitRequest waits for the first byte of a connection, since the limit of a request counts
// from there. It closes the connection and returns false if none comes.
func (t transport) awaitRequest(c network.Conn) bool {
	_ = c.SetReadTimeout(t.idleTimeout)
	if _, err := c.Peek(1); err != nil {
		_ = c.Close()
		return false
	}
	_ = c.SetReadTimeout(t.readTimeout)
	return true
}
