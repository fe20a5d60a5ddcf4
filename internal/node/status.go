package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// PathStatus is the path at which the operator listener returns a Status.
const PathStatus = "/status"

// Status describes the state of one instance to operators.
type Status struct {
	Instance    string          `json:"instance"`
	Incarnation string          `json:"incarnation"`
	State       lifecycle.State `json:"state"`
	// Offset is the highest control stream offset applied to the view.
	Offset backing.Offset `json:"offset"`
	// ConfigVersion is the configuration version in force. ConfigSinceUnixMS is
	// the Unix time in milliseconds at which this instance applied it.
	ConfigVersion     backing.Offset `json:"config_version"`
	ConfigSinceUnixMS int64          `json:"config_since_unix_ms"`
	// ViewAgeMS is an upper bound of the age of the view, in milliseconds.
	ViewAgeMS int64 `json:"view_age_ms"`
	// MayWork is false while the instance takes no new work.
	MayWork bool  `json:"may_work"`
	Running int64 `json:"running"`
	Members int   `json:"members"`
}

// configChangeTracker records when this instance last applied a new
// configuration version.
type configChangeTracker struct {
	version atomic.Uint64
	sinceMS atomic.Int64
}

// observe must be called with each new view.
func (c *configChangeTracker) observe(v *controlstate.View) {
	if c.version.Swap(uint64(v.ConfigVersion)) != uint64(v.ConfigVersion) {
		c.sinceMS.Store(time.Now().UnixMilli())
	}
}

func registerStatus(r *route.Engine, status func() Status) {
	r.GET(PathStatus, func(_ context.Context, c *app.RequestContext) {
		peer.WriteJSON(c, consts.StatusOK, status())
	})
}
