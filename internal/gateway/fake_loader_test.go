package gateway_test

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
)

// fakeLoader is a gateway.Loader that loads at once, refuses or fails.
type fakeLoader struct {
	refuse bool
	err    error
	// block, if set, blocks the next load until it is closed, even after the context
	// of the load has ended: an agent does not notice that its caller has gone.
	// callerGone is closed when the context of the blocked load ends.
	block      chan struct{}
	callerGone chan struct{}
	// blocked tells that a load is or was blocked.
	blocked bool
	// hold, if set, makes the next load take until it is closed.
	hold chan struct{}
	// permitDelay is when the next permit for an engine is free.
	permitDelay time.Duration
	permits     int
	requested   []string
	mu          sync.Mutex
}

func (l *fakeLoader) setRefuse(refuse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse = refuse
}

func (l *fakeLoader) setErr(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}

// blockLoad blocks the next load that a request waits for until release is called.
// callerGone is closed when the context of that load ends.
func (l *fakeLoader) blockLoad() (release func(), callerGone <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	block := make(chan struct{})
	l.block, l.callerGone = block, make(chan struct{})
	return func() { close(block) }, l.callerGone
}

// holdLoad makes the next load that a request waits for take until release is called.
func (l *fakeLoader) holdLoad() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hold := make(chan struct{})
	l.hold = hold
	return func() { close(hold) }
}

func (l *fakeLoader) isBlocked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blocked
}

func (l *fakeLoader) Ensure(ctx context.Context, _ string, req agentapi.EnsureRequest) (agentapi.EnsureResponse, error) {
	l.mu.Lock()
	block, callerGone := l.block, l.callerGone
	// Only one load is blocked, and no background load, since it has no caller.
	if block != nil && !req.Background {
		l.block, l.blocked = nil, true
	} else {
		block = nil
	}
	var hold chan struct{}
	if !req.Background && l.hold != nil {
		hold, l.hold, l.blocked = l.hold, nil, true
	}
	l.mu.Unlock()
	if hold != nil {
		<-hold
	}
	if block != nil {
		<-ctx.Done()
		close(callerGone)
		<-block
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested = append(l.requested, req.Model+"/"+req.Adapter)
	return agentapi.EnsureResponse{Loaded: !l.refuse, Reason: "refused"}, l.err
}

// Permit grants every request after permitDelay, if the request may wait that long.
func (l *fakeLoader) Permit(_ context.Context, _ string, req agentapi.PermitRequest) (agentapi.PermitResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.permits++
	after := l.permitDelay.Milliseconds()
	if after > req.MaxWaitMS {
		return agentapi.PermitResponse{WaitMS: after}, nil
	}
	return agentapi.PermitResponse{Granted: true, AfterMS: after}, nil
}

// permitRequests returns how many permits were asked for.
func (l *fakeLoader) permitRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.permits
}

func (l *fakeLoader) setPermitDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.permitDelay = d
}
