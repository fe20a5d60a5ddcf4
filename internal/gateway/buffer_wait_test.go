package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newBufferEnv returns an environment whose gateway buffers at most limit bytes.
func newBufferEnv(t *testing.T, limit int64, s script) *testEnv {
	env := newLimitedEnv(t, limit, s)
	is.New(t).NoErr(env.lifecycle.Serve())
	return env
}

// holdFirst answers request r0 with half of a body of size bytes, and sends the rest once finish is
// closed. It answers the others at once.
func holdFirst(size int, finish <-chan struct{}) script {
	return func(c net.Conn, req receivedRequest) bool {
		if req.header.Get(requestIDHeader) != "r0" {
			return respond(200, strings.Repeat("x", size))(c, req)
		}
		half := strings.Repeat("x", size/2)
		_, err := c.Write([]byte(responseHead(200, req.header.Get(requestIDHeader)) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(half), half)))
		if err == nil {
			<-finish
			_, err = c.Write([]byte(half))
		}
		return err == nil
	}
}

// waitHeld waits until responses hold n bytes and waiting others wait for memory.
func (env *testEnv) waitHeld(n int64, waiting int) {
	env.eventually("responses to hold or wait for memory", func() bool {
		return env.gateway.Buffers.Used() == n && env.gateway.Buffers.Waiting() == waiting
	})
}

// loggedWaits returns how many requests waited for memory and ended.
func (env *testEnv) loggedWaits() int {
	n := 0
	for _, e := range env.logs.All() {
		if _, ok := e.ContextMap()["buffer_wait"]; ok {
			n++
		}
	}
	return n
}

// TestResponseWaitsForBuffers guards against requests that upstreams have run and that fail, although the
// memory for their response becomes free in time, and against sending them again.
func TestResponseWaitsForBuffers(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			check := is.New(t)
			const limit = 64 << 10
			finish := make(chan struct{})
			env := newBufferEnv(t, limit, holdFirst(limit, finish))
			var wg sync.WaitGroup
			for i := range 3 {
				wg.Go(func() {
					resp := env.send("POST", path, "x", withID(i))
					check.Equal(resp.status, 200)
					check.Equal(len(resp.body), limit)
				})
				env.waitHeld(limit, i)
			}
			close(finish)
			wg.Wait()
			env.waitIdle()
			check.Equal(len(env.receivedRequests()), 3)
			check.Equal(env.loggedWaits(), 2)
		})
	}
}

// TestBuffersNeverReleased guards against a response that waits beyond the time of its request, that is
// sent to an upstream again, or whose failure looks as if the request had not run.
func TestBuffersNeverReleased(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			check := is.New(t)
			const limit, timeout = 64 << 10, 600 * time.Millisecond
			finish := make(chan struct{})
			env := newBufferEnv(t, limit, holdFirst(limit, finish))
			var wg sync.WaitGroup
			wg.Go(func() {
				check.Equal(env.send("POST", "/once/", "x", withID(0), "Jacinthbend-Deadline-Ms: 8000").status, 200)
			})
			env.waitHeld(limit, 0)
			start := time.Now()
			resp := env.send("POST", path, "x", withID(1), fmt.Sprintf("Jacinthbend-Deadline-Ms: %d", timeout.Milliseconds()))
			took := time.Since(start)
			check.Equal(resp.status, 502)
			check.Equal(resp.header.Get("Retry-After"), "") // the upstream has run it
			check.True(took >= timeout/3)
			check.True(took < timeout+500*time.Millisecond)
			check.Equal(len(env.receivedRequests()), 2)
			close(finish)
			wg.Wait()
			check.Equal(env.send("POST", path, "x", withID(2)).status, 200) // nothing is left behind
			env.waitIdle()
			check.Equal(env.pool.InFlight("i-0"), 0)
		})
	}
}

// TestCallerDisconnectsWhileResponseWaits guards against responses that wait for memory although nobody
// would read them, and against memory that such a wait keeps from others.
func TestCallerDisconnectsWhileResponseWaits(t *testing.T) {
	check := is.New(t)
	const limit = 64 << 10
	finish := make(chan struct{})
	env := newBufferEnv(t, limit, holdFirst(limit, finish))
	var wg sync.WaitGroup
	wg.Go(func() { check.Equal(env.send("POST", "/once/", "x", withID(0)).status, 200) })
	env.waitHeld(limit, 0)
	c := env.dial()
	env.writeRequest(c, "POST", "/once/", "x", withID(1))
	env.waitHeld(limit, 1)
	left := time.Now()
	check.NoErr(c.Close())
	env.eventually("the request to end", func() bool { return env.lifecycle.Running() == 1 })
	env.waitHeld(limit, 0)
	check.True(time.Since(left) < maxRunAfterDisconnect)
	check.Equal(env.loggedWaits(), 1)
	close(finish)
	wg.Wait()
	check.Equal(env.send("POST", "/once/", "x", withID(2)).status, 200)
	env.waitIdle()
	check.Equal(len(env.receivedRequests()), 3)
}

// TestWaitingResponsesDoNotBlockEachOther guards against responses of unknown length that each hold a
// part of the memory, wait for the rest, and all fail.
func TestWaitingResponsesDoNotBlockEachOther(t *testing.T) {
	check := is.New(t)
	const responses, part, parts = 4, 64 << 10, 112 // 7 MiB each, 28 MiB together
	var halfway atomic.Int64
	chunk := fmt.Sprintf("%x\r\n%s\r\n", part, strings.Repeat("x", part))
	env := newBufferEnv(t, bufferBudget, func(c net.Conn, req receivedRequest) bool {
		_, err := c.Write([]byte(responseHead(200, req.header.Get(requestIDHeader), "Transfer-Encoding: chunked") + "\r\n"))
		for i := range parts {
			if err != nil {
				return false
			}
			if i == parts/4 {
				// Each has a part before one goes on.
				halfway.Add(1)
				for end := time.Now().Add(2 * time.Second); halfway.Load() < responses && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			}
			_, err = c.Write([]byte(chunk))
		}
		_, err = c.Write([]byte("0\r\n\r\n"))
		return err == nil
	})
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() {
			resp := env.send("POST", "/once/", "x", withID(i), "Jacinthbend-Deadline-Ms: 5000")
			check.Equal(resp.status, 200)
			check.Equal(len(resp.body), part*parts)
		})
	}
	wg.Wait()
	env.waitIdle()
	check.Equal(len(env.receivedRequests()), responses)
	check.True(env.loggedWaits() > 0)
}
