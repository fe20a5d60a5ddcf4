package peerapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/poison"
)

// Paths of crash reports.
const (
	pathNotice = "/poison/notice"
	pathBoot   = "/poison/boot"
)

// RegisterNotices registers the handler for crash notices from other instances.
// known stores them.
func RegisterNotices(r *route.Engine, known *poison.CrashTable) {
	handle(r, pathNotice, func(_ context.Context, n poison.CrashNotice) (empty, error) {
		known.ApplyNotice(n)
		return empty{}, nil
	})
}

// RegisterBoot registers the handler that reports the state of an agent's
// upstream to entry instances. reporter returns the crash reporter of the
// current incarnation, or nil before it has joined.
func RegisterBoot(r *route.Engine, reporter func() *poison.Reporter) {
	handle(r, pathBoot, func(ctx context.Context, _ empty) (poison.BootStatus, error) {
		p := reporter()
		if p == nil {
			return poison.BootStatus{}, errkind.New(errkind.ViewStale, "this agent has not joined the fleet yet")
		}
		return p.BootStatus(ctx), nil
	})
}

// Notice notifies the instance at addr of a crash.
func (c *Client) Notice(ctx context.Context, addr string, n poison.CrashNotice) error {
	_, err := call[empty](ctx, c, addr, pathNotice, n)
	return err
}

// Boot asks the agent at addr for the state of its upstream.
func (c *Client) Boot(ctx context.Context, addr string) (poison.BootStatus, error) {
	return call[poison.BootStatus](ctx, c, addr, pathBoot, empty{})
}
