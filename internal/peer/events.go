package peer

import (
	"context"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// forceCloser is the body of a streamed response. ForceClose unblocks a pending
// read.
type forceCloser interface {
	ForceClose() error
}

// ForEachEvent calls f for each event of resp until the stream ends, an error
// occurs or ctx is done. sse.Reader.ForEach may leave behind a goroutine that
// closes the body after ForEach has returned, when the pooled body may already
// belong to another response. ForEachEvent therefore passes it a context that
// is never cancelled, closes the body itself when ctx is done, and does not
// touch resp after returning.
func ForEachEvent(ctx context.Context, resp *protocol.Response, reader *sse.Reader, f func(*sse.Event) error) error {
	if resp.IsBodyStream() {
		if body, ok := resp.BodyStream().(forceCloser); ok {
			closed := make(chan struct{})
			stop := context.AfterFunc(ctx, func() {
				defer close(closed)
				_ = body.ForceClose()
			})
			defer func() {
				if !stop() {
					<-closed
				}
			}()
		}
	}
	err := reader.ForEach(context.WithoutCancel(ctx), func(e *sse.Event) error {
		if err := ctx.Err(); err != nil {
			return err
		}
		return f(e)
	})
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}
