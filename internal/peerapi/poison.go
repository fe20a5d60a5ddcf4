package peerapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/poison"
)

// Paths of the crash reports.
const (
	pathNotice = "/poison/notice"
	pathBoot   = "/poison/boot"
)

// RegisterNotices takes notices of crashes; known returns the knowledge of
// this instance.
func RegisterNotices(r *route.Engine, known *poison.CrashTable) {
	handle(r, pathNotice, func(_ context.Context, n poison.CrashNotice) (empty, error) {
		known.ApplyNotice(n)
		return empty{}, nil
	})
}

// RegisterBoot tells entry instances how an agent's upstream stands; reporter
// returns that of the present incarnation.
func RegisterBoot(r *route.Engine, reporter func() *poison.Reporter) {
	handle(r, pathBoot, func(ctx context.Context, _ empty) (poison.BootStatus, error) {
		p := reporter()
		if p == nil {
			return poison.BootStatus{}, errkind.New(errkind.ViewStale, "this agent has not joined the fleet yet")
		}
		return p.BootStatus(ctx), nil
	})
}

// Notice tells the instance at addr of a crash.
func (c *Client) Notice(ctx context.Context, addr string, n poison.CrashNotice) error {
	_, err := call[empty](ctx, c, addr, pathNotice, n)
	return err
}

// Boot asks the agent at addr how its upstream stands.
func (c *Client) Boot(ctx context.Context, addr string) (poison.BootStatus, error) {
	return call[poison.BootStatus](ctx, c, addr, pathBoot, empty{})
}
