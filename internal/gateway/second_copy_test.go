package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestSecondCopyOfRefusal guards against an upstream that writes an earlier refusal once more on
// a kept connection, when the request that it refused is sent to it again: the caller would be
// told that the request has not run although the upstream runs it.
func TestSecondCopyOfRefusal(t *testing.T) {
	check := is.New(t)
	const refusal = "HTTP/1.1 503 x\r\nJacinthbend-Not-Executed: 1\r\nJacinthbend-Request-Id: r1\r\nJacinthbend-Server-Load: 3,0,64\r\nContent-Length: 0\r\n\r\n"
	var mu sync.Mutex
	refusedOn := make(map[net.Conn]bool)
	runs := 0
	stream := "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event1), event1)
	env := newEnv(t, func(c net.Conn, req receivedRequest) bool {
		mu.Lock()
		defer mu.Unlock()
		id := req.header.Get(requestIDHeader)
		if id == "r1" && len(refusedOn) == 0 {
			refusedOn[c] = true
			_, err := c.Write([]byte(refusal))
			return err == nil
		}
		if id == "r1" {
			runs++
			if refusedOn[c] {
				_, _ = c.Write([]byte(refusal))
			}
		}
		_, err := c.Write([]byte(responseHead(200, id, "Content-Type: text/event-stream") + stream))
		return err == nil
	})
	env.useEngines()
	release := env.loader.holdLoad()
	first := make(chan response, 1)
	go func() {
		first <- env.send("POST", "/model/", "x", "Jacinthbend-Model: m", "Jacinthbend-Token-Count: 10,10")
	}()
	env.eventually("the refused request to wait for a load", env.loader.isBlocked)
	check.Equal(env.send("POST", "/model/", "x", "Jacinthbend-Model: m", "Jacinthbend-Token-Count: 10,10", withID(2)).status, 200)
	release()
	resp := <-first
	mu.Lock()
	defer mu.Unlock()
	check.Equal(runs, 1)
	check.Equal(resp.status, 200)
	check.Equal(resp.body, event1)
}

// TestErrorAfterStreamHasBegun guards against a stream that has begun and broken off, and then
// contains the answer of the next upstream, which does not go on with it, or ends as if it were
// complete.
func TestErrorAfterStreamHasBegun(t *testing.T) {
	for name, next := range map[string]script{
		"error":             respond(500, "an error text"),
		"error stream":      rawResponse(responseHead(500, "r1", "Content-Type: text/event-stream") + "\r\nid: 2\ndata: error\n\n"),
		"not found":         respond(404, "no such page"),
		"not executed":      notExecuted(503),
		"misdirected":       notExecuted(421),
		"another type":      rawResponse("HTTP/1.1 200 OK\r\nJacinthbend-Request-Id: r1\r\nContent-Length: 4\r\n\r\ntext"),
		"no answer":         closeWithoutResponse,
		"half a head":       rawResponse(responseHead(200, "r1") + "Content-Le"),
		"not http":          rawResponse("id: 2\ndata: two\n\n"),
		"half an event":     chunkedStream(false, "id: 2\nda"),
		"error without end": rawResponse("HTTP/1.1 500 x\r\nJacinthbend-Request-Id: r1\r\n\r\nan error text"),
	} {
		for _, path := range []string{"/resume/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				check := is.New(t)
				env := newEnv(t, chunkedStream(false, event1), next)
				resp := env.send("POST", path, "x")
				check.Equal(resp.status, 200)
				check.Equal(resp.body, event1)
				check.True(resp.err != nil) // it must not look complete
			})
		}
	}
}

// TestHeadThatEndsEarly guards against an upstream that ends in the middle of a response's head,
// and a caller that gets a success with an empty or short body.
func TestHeadThatEndsEarly(t *testing.T) {
	for _, framing := range []string{"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		whole := responseHead(200, "r1", "Content-Type: text/plain") + framing + "\r\n"
		for n := range len(whole) {
			check := is.New(t)
			env := newEnv(t, rawResponse(whole[:n]))
			resp := env.send("POST", "/once/", "x")
			if resp.err == nil && resp.status/100 == 2 {
				t.Fatalf("success with body %q after %q", resp.body, whole[:n])
			}
			check.True(!strings.Contains(resp.body, "HTTP/1.1"))
		}
	}
}
