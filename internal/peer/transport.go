package peer

import (
	"context"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
)

// transport is hertz's standard transport with connections that sense disconnections. Its
// netpoll transport waits in a blocking system call, which on one core can keep the other
// goroutines from running for a long time.
type transport struct{ network.Transporter }

func newTransport(o *config.Options) network.Transporter {
	return transport{standard.NewTransporter(o)}
}

// ListenAndServe implements network.Transporter.
func (t transport) ListenAndServe(serve network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, c any) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		conn := &watchedConn{Conn: c.(network.Conn), disconnected: cancel}
		var err error
		// The recovery of the server covers only its handlers.
		background.Call(zap.L(), "connection", func() { err = serve(ctx, conn) })
		return err
	})
}
