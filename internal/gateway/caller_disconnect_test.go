package gateway_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// maxRunAfterDisconnect is how long a request may go on after its caller has disconnected.
const maxRunAfterDisconnect = 500 * time.Millisecond

// disconnectStep is a step of a request at which its caller disconnects.
type disconnectStep struct {
	upstreams   []script
	path, model string
	// sent is how many upstreams get the request.
	sent int
	// prepare makes the request stop at the step. reached reports whether it has come there
	// and ended whether it goes on no longer; release lets the loader answer.
	prepare func(env *testEnv) (reached, ended func() bool, release func())
}

// TestRequestGoesOnAfterCallerDisconnects guards against requests that wait or run until
// their deadline although nobody would read the response, at each step of a request.
func TestRequestGoesOnAfterCallerDisconnects(t *testing.T) {
	nothing := func() {}
	atUpstream := func(env *testEnv) (func() bool, func() bool, func()) {
		return func() bool { return len(env.receivedRequests()) == 1 }, func() bool { return len(env.closedByScript) > 0 }, nothing
	}
	inLoad := func(env *testEnv) (func() bool, func() bool, func()) {
		env.useEngines()
		release, gone := env.loader.blockLoad()
		return env.loader.isBlocked, func() bool { return isClosed(gone) }, release
	}
	inQueue := func(env *testEnv) (func() bool, func() bool, func()) {
		env.useEngines()
		env.pool.UpdateAgentState("i-0", &agentapi.State{Reachable: true, RateLimit: 1, Holdings: &fleet.Holdings{Adapters: map[string][]string{"m": nil}}}, time.Now())
		env.loader.setPermitDelay(time.Second)
		return func() bool { return env.loader.permitRequests() > 0 }, func() bool { return env.lifecycle.Running() == 0 }, nothing
	}
	for name, step := range map[string]disconnectStep{
		"before the response":          {upstreams: []script{waitForEnd}, path: "/safe/", sent: 1, prepare: atUpstream},
		"in the middle of a stream":    {upstreams: []script{beginStream}, path: "/stream/", sent: 1, prepare: atUpstream},
		"during a load":                {upstreams: []script{waitForEnd}, path: "/model/", model: "m/a1", prepare: inLoad},
		"in the queue of a rate limit": {upstreams: []script{waitForEnd}, path: "/model/", model: "m", prepare: inQueue},
		"between two attempts":         {upstreams: []script{notExecuted(503), waitForEnd}, path: "/model/", model: "m", sent: 1, prepare: inLoad},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, step.upstreams...)
			reached, ended, release := step.prepare(env)
			c, err := net.Dial("tcp", env.addr)
			check.NoErr(err)
			env.writeRequest(c, "POST", step.path, "x", "Jacinthbend-Model: "+step.model)
			if step.path == "/stream/" {
				_, err := c.Read(make([]byte, 1))
				check.NoErr(err)
			}
			env.eventually("the request to come to the step", reached)
			left := time.Now()
			check.NoErr(c.Close())
			env.eventually("the request to end", ended)
			check.True(time.Since(left) < maxRunAfterDisconnect)
			release()
			env.waitIdle()
			check.Equal(len(env.receivedRequests()), step.sent)
		})
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// waitForEnd sends nothing until the gateway closes the connection.
func waitForEnd(c net.Conn, _ receivedRequest) bool {
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

// beginStream sends one event and then nothing.
func beginStream(c net.Conn, req receivedRequest) bool {
	const event = "id: 1\ndata: 1\n\n"
	_, err := c.Write([]byte(responseHead(200, "r1", "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + "\r\nf\r\n" + event + "\r\n"))
	return err == nil && waitForEnd(c, req)
}
