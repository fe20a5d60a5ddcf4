package telemetry

import (
	"bytes"
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/strictconn"
)

// Register adds /metrics, /healthz (the process runs) and /readyz (it takes
// new work) to r.
func Register(r *route.Engine, set *metrics.Set, ready func() (bool, string)) {
	r.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		var buf bytes.Buffer
		set.WritePrometheus(&buf)
		peer.Stats.WritePrometheus(&buf)
		background.Stats.WritePrometheus(&buf)
		strictconn.Stats.WritePrometheus(&buf)
		metrics.WriteProcessMetrics(&buf)
		c.Data(consts.StatusOK, "text/plain; version=0.0.4", buf.Bytes())
	})
	r.GET("/healthz", func(_ context.Context, c *app.RequestContext) {
		c.String(consts.StatusOK, "ok\n")
	})
	r.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		ok, why := ready()
		if !ok {
			c.String(consts.StatusServiceUnavailable, why+"\n")
			return
		}
		c.String(consts.StatusOK, "ready\n")
	})
}
