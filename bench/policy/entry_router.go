package policy

import (
	"github.com/jacinthbend/jacinthbend/internal/routing"
)

// entryRouter is the routing policy of one entry instance.
type entryRouter interface {
	Choose(q routing.Query) (string, error)
	Done(id string, result routing.Result)
	Report(r routing.LoadReport)
	Cache(e routing.CacheEvent)
}
