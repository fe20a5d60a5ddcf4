package gateway_test

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// bufferBudget is the limit of the gateway's buffers in these tests.
	bufferBudget = 16 << 20
	// perRequest is what a request may take beside it: connections, parsers and goroutines on both
	// sides, which run in this process.
	perRequest = 128 << 10
)

// liveHeap returns the memory in use, without what is no longer referenced.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// waitQuiet waits until count is above 0 and has not risen for pause.
func (env *testEnv) waitQuiet(pause time.Duration, count func() int64) {
	last, since := int64(0), time.Now()
	env.eventually("nothing more to be sent", func() bool {
		if now := count(); now != last {
			last, since = now, time.Now()
		}
		return last > 0 && time.Since(since) >= pause
	})
}

// endless answers with head and then part, without an end. After size bytes it stands still until
// resume is closed, so that what the gateway holds by then can be measured.
func endless(head, part string, size int, sent *atomic.Int64, resume <-chan struct{}) script {
	part = strings.Repeat(part, 1+4096/len(part))
	return func(c net.Conn, _ receivedRequest) bool {
		_, err := c.Write([]byte(head))
		for n := 0; err == nil; n += len(part) {
			if n >= size {
				<-resume
			}
			_, err = c.Write([]byte(part))
			sent.Add(int64(len(part)))
		}
		return false
	}
}

// TestEndlessBodiesExhaustMemory guards against an instance whose buffers take several times their
// limit, because an upstream sends bytes without an end to many requests at once, and against
// other requests that fail meanwhile.
func TestEndlessBodiesExhaustMemory(t *testing.T) {
	const requests, deadline = 60, 3 * time.Second
	for name, row := range map[string]struct {
		path, head, part string
		size             int
	}{
		"chunks":       {"/once/", responseHead(200, "r1", "Transfer-Encoding: chunked") + "\r\n", "1000\r\n" + strings.Repeat("b", 4096) + "\r\n", 1100 << 10},
		"huge length":  {"/once/", responseHead(200, "r1", "Content-Length: 99999999999") + "\r\n", strings.Repeat("b", 4096), 1100 << 10},
		"no length":    {"/once/", responseHead(200, "r1", "Connection: close") + "\r\n", strings.Repeat("b", 4096), 1100 << 10},
		"error":        {"/once/", responseHead(500, "r1", "Transfer-Encoding: chunked") + "\r\n", "1000\r\n" + strings.Repeat("b", 4096) + "\r\n", 1100 << 10},
		"one event":    {"/stream/", responseHead(200, "r1", "Content-Type: text/event-stream") + "\r\n", strings.Repeat("b", 4096), 200 << 10},
		"endless head": {"/once/", responseHead(200, "r1"), "X: x\r\n", 40 << 10},
		"long lines":   {"/once/", responseHead(200, "r1"), "X: " + strings.Repeat("x", 1000) + "\r\n", 40 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			var sent atomic.Int64
			resume := make(chan struct{})
			faulty := endless(row.head, row.part, row.size, &sent, resume)
			env := newLimitedEnv(t, bufferBudget, func(c net.Conn, req receivedRequest) bool {
				if strings.Contains(req.requestLine, "/safe/") {
					return respond(200, strings.Repeat("x", 60<<10))(c, req)
				}
				return faulty(c, req)
			})
			check.NoErr(env.lifecycle.Serve())
			before := liveHeap()
			var wg sync.WaitGroup
			var failed atomic.Int64
			for range requests {
				wg.Go(func() {
					start := time.Now()
					resp := env.send("POST", row.path, "x", fmt.Sprintf("Jacinthbend-Deadline-Ms: %d", deadline.Milliseconds()))
					// Responses wait for memory until the deadline, so one may still be read then.
					late := resp.status == 504 && time.Since(start) >= deadline
					if resp.err != nil || resp.status == 502 || late {
						failed.Add(1)
					}
				})
			}
			// All have failed or stand still.
			env.waitQuiet(100*time.Millisecond, func() int64 { return sent.Load() + failed.Load() })
			grown := int64(liveHeap()) - int64(before)
			t.Logf("%d of %d requests held, %d MiB sent, %d KiB more in use", requests-failed.Load(), requests, sent.Load()>>20, grown>>10)
			check.True(grown <= bufferBudget+requests*perRequest)
			var others sync.WaitGroup
			for range 40 {
				others.Go(func() {
					check.Equal(env.send("GET", "/safe/", "").status, 200) // others do not notice
				})
			}
			others.Wait()
			close(resume)
			wg.Wait()
			check.Equal(int(failed.Load()), requests) // no answer looks complete
		})
	}
}

// TestSlowCallersExhaustMemory guards against responses that no longer count while they wait for
// callers that do not read them.
func TestSlowCallersExhaustMemory(t *testing.T) {
	check := is.New(t)
	const callers, body = 16, 6 << 20
	var sent atomic.Int64
	env := newLimitedEnv(t, bufferBudget, func(c net.Conn, req receivedRequest) bool {
		_, err := c.Write([]byte(responseHead(200, req.header.Get(requestIDHeader), fmt.Sprintf("Content-Length: %d", body)) + "\r\n"))
		part := make([]byte, 64<<10)
		for n := 0; err == nil && n < body; n += len(part) {
			_, err = c.Write(part)
			sent.Add(int64(len(part)))
		}
		return err == nil
	})
	check.NoErr(env.lifecycle.Serve())
	before := liveHeap()
	var conns []net.Conn
	for i := range callers {
		c, err := net.Dial("tcp", env.addr)
		check.NoErr(err)
		check.NoErr(c.(*net.TCPConn).SetReadBuffer(4 << 10))
		env.writeRequest(c, "POST", "/once/", "x", withID(i))
		conns = append(conns, c)
		// One after the other, so that those before have passed to the server's library.
		env.waitQuiet(40*time.Millisecond, sent.Load)
	}
	grown := int64(liveHeap()) - int64(before)
	t.Logf("%d KiB more in use", grown>>10)
	check.True(grown <= bufferBudget+callers*perRequest)
	for _, c := range conns {
		check.NoErr(c.Close())
	}
	env.waitIdle()
	resp := env.send("POST", "/once/", "x")
	check.Equal(resp.status, 200) // the budget is free again
	check.Equal(len(resp.body), body)
}
