package gateway

import (
	"sync/atomic"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/routetable"
)

// currentTable holds the route table of the current configuration. Readers take no
// lock.
type currentTable struct {
	ptr atomic.Pointer[routetable.Table]
}

func (t *currentTable) load() *routetable.Table { return t.ptr.Load() }

func (t *currentTable) update(c *fleet.Config) {
	if old := t.ptr.Load(); old == nil || old.Config != c {
		t.ptr.Store(routetable.New(c))
	}
}
