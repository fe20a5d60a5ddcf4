package configcheck

import (
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func (d *document) checkPools(out *findings) {
	for id, pool := range d.Pools {
		if d.poolUsers[id] > 0 {
			continue
		}
		users := "model"
		if pool.Kind == config.PoolService {
			users = "route"
		}
		out.warn(CodeUnusedPool, entryPath(record.SectionPools, id),
			"no %s names pool %q, so its upstreams get no requests; add a %s or delete the pool", users, id, users)
	}
}
