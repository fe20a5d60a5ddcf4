package soak

import (
	"net/http"
	"sync"

	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// upstreamHost serves one upstream, which can crash and start again.
type upstreamHost struct {
	index  int
	engine bool
	link   *proxy

	mu sync.Mutex
	// server is nil while the upstream is down.
	server *http.Server
	// startCount is part of the id, so that each start has a new one.
	startCount int
	id         string
	// engines holds the engine of every start.
	engines []*platformtest.Engine
}
