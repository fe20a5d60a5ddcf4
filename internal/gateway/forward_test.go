package gateway_test

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestForward guards against a request that is changed on the way to an upstream,
// or that carries the caller's key or the caller's values of headers that only the
// gateway sets (H4, H5).
func TestForward(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, respond(200, "ok"))
	resp := env.send("POST", "/once/%7Ea//b/../c;x?q=%20&r=a+b", "\x00\xffbody", "X-Own: 1", "Jacinthbend-Tenant: forged", "Jacinthbend-Hold: h", "Connection: X-Hop", "X-Hop: 1")
	check.Equal(resp.status, 200)
	check.Equal(resp.body, "ok")
	got := env.receivedRequests()[0]
	check.Equal(got.requestLine, "POST /once/%7Ea//b/../c;x?q=%20&r=a+b HTTP/1.1")
	check.Equal(got.body, "\x00\xffbody")
	check.Equal(got.header.Get("X-Own"), "1")
	check.Equal(got.header.Get("Jacinthbend-Tenant"), "blue")
	check.Equal(got.header.Get("Jacinthbend-Request-Id"), "r1")
	check.Equal(got.header.Get("Jacinthbend-Expect-Instance"), "i-0")
	for _, name := range []string{"X-Api-Key", "Jacinthbend-Hold", "X-Hop", "Connection"} {
		check.Equal(got.header.Get(name), "") // must not be forwarded
	}
	remainingMS, err := strconv.Atoi(got.header.Get("Jacinthbend-Deadline-Ms"))
	check.NoErr(err)
	check.True(remainingMS > 0 && remainingMS <= 3000) // at most the remaining time
}

// TestRequestSmuggling guards against a body that an upstream reads as a separate
// request because of the framing that the caller used.
func TestRequestSmuggling(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, respond(200, "ok"))
	inner := "GET /once/smuggled HTTP/1.1\r\nHost: h.example\r\nJacinthbend-Request-Id: r9\r\n\r\n"
	c, err := net.Dial("tcp", env.addr)
	check.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("POST /once/a HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\nJacinthbend-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"51\r\n" + inner + strings.Repeat("x", 0x51-len(inner)) + "\r\n0\r\n\r\n"))
	check.NoErr(err)
	check.Equal(env.readResponse(c, "POST").status, 200)
	check.Equal(len(env.receivedRequests()), 1)
	check.True(strings.HasPrefix(env.receivedRequests()[0].body, inner))
}

// TestResponseUnchanged guards against a response that is changed on the way to
// the caller.
func TestResponseUnchanged(t *testing.T) {
	for _, row := range []struct {
		name   string
		path   string
		s      script
		status int
		body   string
	}{
		{"not found without a body", "/once/", respond(404, ""), 404, ""},
		{"no content", "/once/", respond(204, ""), 204, ""},
		{"error from the upstream", "/once/", respond(500, "oops"), 500, "oops"},
		{"redirect", "/safe/", respond(302, "x", "Location: /y"), 302, "x"},
		{"binary", "/safe/", respond(200, "\x00\x01\xff"), 200, "\x00\x01\xff"},
		{"no content length", "/safe/", rawResponse(responseHead(200, "r1") + "\r\nall"), 200, "all"},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			resp := newEnv(t, row.s).send("GET", row.path, "")
			check.NoErr(resp.err)
			check.Equal(resp.status, row.status)
			check.Equal(resp.body, row.body)
			check.Equal(resp.header.Get("Jacinthbend-Server-Stamp"), "st")
			check.Equal(resp.header.Get("Jacinthbend-Server-Load"), "")
		})
	}
}

// TestRefusals guards against a request that is refused with the wrong status, or
// that is refused and still reaches an upstream.
func TestRefusals(t *testing.T) {
	for _, row := range []struct {
		name, path, body string
		header           []string
		status           int
	}{
		{"no route", "/other/", "", nil, 404},
		{"no key", "/once/", "", []string{"X-Api-Key: "}, 401},
		{"unknown key", "/once/", "", []string{"X-Api-Key: nope"}, 401},
		{"body too large", "/once/", strings.Repeat("x", 1001), nil, 413},
		{"headers too large", "/once/", "", []string{"X-Big: " + strings.Repeat("x", 4000)}, 431},
		{"invalid token count", "/once/", "", []string{"Jacinthbend-Token-Count: x"}, 400},
		{"no upstream", "/nowhere/", "", nil, 503},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, respond(200, "ok"))
			resp := env.send("POST", row.path, row.body, row.header...)
			check.Equal(resp.status, row.status)
			check.True(strings.Contains(resp.body, `"ran":"no"`)) // every refusal says so
			check.Equal(len(env.receivedRequests()), 0)
		})
	}
	check := is.New(t)
	check.Equal(newEnv(t, respond(200, "ok")).send("GET", "/public/", "", "X-Api-Key: nope").status, 200)
}

// TestRateLimit guards against serving a team over its rate limit, against a
// refusal without Retry-After, and against charging tokens for a request that did
// not run.
func TestRateLimit(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, respond(200, "ok"))
	check.Equal(env.send("GET", "/safe/", "", "X-Api-Key: poor").status, 200)
	resp := env.send("GET", "/safe/", "", "X-Api-Key: poor")
	check.Equal(resp.status, 429)
	check.True(resp.header.Get("Retry-After") != "")
	check.Equal(len(env.receivedRequests()), 1)

	env = newEnv(t, notExecuted(503))
	for range 3 {
		check.Equal(env.send("GET", "/safe/", "", "X-Api-Key: poor").status, 503) // not 429
	}
}

// TestDraining guards against a draining instance that rejects requests which
// still reach it before the platform has removed it, and against one that accepts
// requests until it exits.
func TestDraining(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, respond(200, "ok"))
	_, err := env.lifecycle.Drain(t.Context())
	check.NoErr(err)
	resp := env.send("GET", "/safe/", "")
	check.Equal(resp.status, 200)
	check.True(resp.close)
	// A request whose deadline is before the exit is served, a longer one is not.
	env.gateway.SetExitTime(time.Now().Add(time.Second))
	check.Equal(env.send("POST", "/short/", "").status, 200)
	resp = env.send("GET", "/safe/", "")
	check.Equal(resp.status, 503)
	check.True(resp.header.Get("Retry-After") != "")
	check.Equal(len(env.receivedRequests()), 2)
}

// TestRequestDuringStart guards against an instance that refuses requests although
// it will serve soon, and against a starting instance whose refusal says that it is
// shutting down.
func TestRequestDuringStart(t *testing.T) {
	check := is.New(t)
	env := newStartingEnv(t, respond(200, "ok"))
	responses := make(chan response, 1)
	go func() { responses <- env.send("GET", "/safe/", "") }()
	env.eventually("connection", func() bool { return env.attributesRead.Load() > 0 })
	check.NoErr(env.lifecycle.Serve())
	check.Equal((<-responses).status, 200)

	env = newStartingEnv(t, respond(200, "ok"))
	resp := env.send("GET", "/safe/", "", "Jacinthbend-Deadline-Ms: 100")
	check.Equal(resp.status, 503)
	check.True(strings.Contains(resp.body, "starting"))
	check.True(resp.header.Get("Retry-After") != "")
}

// TestDrainingWhileWaiting guards against a request that gets no response because
// it was waiting for a model when the instance exited.
func TestDrainingWhileWaiting(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, chunkedStream(true, event1))
	env.useEngines()
	release, callerGone := env.loader.blockLoad()
	responses := make(chan response, 1)
	go func() { responses <- env.send("POST", "/model/", "x", "Jacinthbend-Model: m/a1") }()
	env.eventually("running request", func() bool { return env.lifecycle.Running() > 0 })
	env.gateway.RefuseWaiting()
	select {
	case <-callerGone:
		// The load continues without its caller.
	case resp := <-responses:
		responses <- resp // refused before the load was requested
	case <-time.After(testTimeout):
		t.Fatal("the wait for the load did not end")
	}
	release()
	resp := <-responses
	check.NoErr(resp.err)
	check.Equal(resp.status, 503)
	check.True(resp.header.Get("Retry-After") != "")
	check.Equal(len(env.receivedRequests()), 0)
}

// TestTimeout guards against a request that waits longer than its route's timeout,
// and against a timeout response which says that the request has not run.
func TestTimeout(t *testing.T) {
	check := is.New(t)
	block := make(chan struct{})
	defer close(block)
	env := newEnv(t, func(net.Conn, receivedRequest) bool { <-block; return false })
	start := time.Now()
	resp := env.send("POST", "/short/", "")
	check.Equal(resp.status, 504)
	check.True(time.Since(start) < time.Second)
	check.Equal(resp.header.Get("Retry-After"), "")
}

// TestCallerDisconnects guards against an upstream that keeps working after the
// caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	check := is.New(t)
	arrived := make(chan struct{})
	env := newEnv(t, func(net.Conn, receivedRequest) bool { close(arrived); return true })
	c, err := net.Dial("tcp", env.addr)
	check.NoErr(err)
	env.writeRequest(c, "GET", "/safe/", "")
	<-arrived
	check.NoErr(c.Close())
	select {
	case err := <-env.connErrs:
		// The connection must be reset: after a normal close, bytes delayed in the
		// network could still arrive.
		check.True(errors.Is(err, syscall.ECONNRESET))
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the upstream stays open")
	}
}
