package peer

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/tracer"
)

// readLimit closes connections whose peers take too long to send a request, counted from
// its first byte. The read timeout of hertz begins anew with each byte.
type readLimit struct{ limit time.Duration }

var _ tracer.Tracer = readLimit{}

type readTimerKey struct{}

// Start implements tracer.Tracer. It is called when the first byte of a request arrives.
func (l readLimit) Start(ctx context.Context, c *app.RequestContext) context.Context {
	conn := c.GetConn()
	timer := time.AfterFunc(l.limit, func() { _ = conn.Close() })
	return context.WithValue(ctx, readTimerKey{}, timer)
}

// Finish implements tracer.Tracer.
func (readLimit) Finish(ctx context.Context, _ *app.RequestContext) { stopReadTimer(ctx) }

// requestRead is the first handler of each request: the request has been read.
func requestRead(ctx context.Context, c *app.RequestContext) {
	stopReadTimer(ctx)
	c.Next(ctx)
}

func stopReadTimer(ctx context.Context) {
	if timer, ok := ctx.Value(readTimerKey{}).(*time.Timer); ok {
		timer.Stop()
	}
}
