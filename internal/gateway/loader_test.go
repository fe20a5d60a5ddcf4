package gateway_test

import (
	"context"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
)

// loader is an agent that loads at once, or refuses.
type loader struct {
	refuse bool
	err    error
	// hold keeps loads until it is closed; an agent does not notice that a caller
	// has gone. left is closed when the caller of a held load is gone.
	hold chan struct{}
	left chan struct{}
	// holding tells that a load is held, or was.
	holding bool
	asked   []string
	mu      sync.Mutex
}

func (l *loader) set(refuse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse = refuse
}

func (l *loader) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}

// holdLoads keeps a caller's load until release is called. left is closed once
// its caller is gone.
func (l *loader) holdLoads() (release func(), left <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hold := make(chan struct{})
	l.hold, l.left = hold, make(chan struct{})
	return func() { close(hold) }, l.left
}

func (l *loader) held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding
}

func (l *loader) Ensure(ctx context.Context, _ string, req agentapi.EnsureRequest) (agentapi.EnsureResponse, error) {
	l.mu.Lock()
	hold, left := l.hold, l.left
	// Background loads have no caller. One load is held.
	if hold != nil && !req.Background {
		l.hold, l.holding = nil, true
	} else {
		hold = nil
	}
	l.mu.Unlock()
	if hold != nil {
		<-ctx.Done()
		close(left)
		<-hold
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, req.Model+"/"+req.Adapter)
	return agentapi.EnsureResponse{Loaded: !l.refuse, Reason: "refused"}, l.err
}
