package gateway

import (
	"sync/atomic"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/routetable"
)

// tables has the index over the configuration in force; readers take no lock.
type tables struct {
	current atomic.Pointer[routetable.Table]
}

func (t *tables) load() *routetable.Table { return t.current.Load() }

func (t *tables) update(c *fleet.Config) {
	if old := t.current.Load(); old == nil || old.Config != c {
		t.current.Store(routetable.New(c))
	}
}
