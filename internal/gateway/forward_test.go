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

// TestForward guards against a request that reaches an upstream changed, with
// the caller's key, or with headers that are the system's to set (H4, H5).
func TestForward(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, whole(200, "ok"))
	a := w.send("POST", "/once/%7Ea//b/../c;x?q=%20&r=a+b", "\x00\xffbody", "X-Own: 1", "Jacinthbend-Tenant: forged", "Jacinthbend-Hold: h", "Connection: X-Hop", "X-Hop: 1")
	check.Equal(a.status, 200)
	check.Equal(a.body, "ok")
	got := w.seen()[0]
	check.Equal(got.head, "POST /once/%7Ea//b/../c;x?q=%20&r=a+b HTTP/1.1")
	check.Equal(got.body, "\x00\xffbody")
	check.Equal(got.header.Get("X-Own"), "1")
	check.Equal(got.header.Get("Jacinthbend-Tenant"), "blue")
	check.Equal(got.header.Get("Jacinthbend-Request-Id"), "r1")
	check.Equal(got.header.Get("Jacinthbend-Expect-Instance"), "i-0")
	for _, name := range []string{"X-Api-Key", "Jacinthbend-Hold", "X-Hop", "Connection"} {
		check.Equal(got.header.Get(name), "") // must not pass
	}
	left, err := strconv.Atoi(got.header.Get("Jacinthbend-Deadline-Ms"))
	check.NoErr(err)
	check.True(left > 0 && left <= 3000) // no more than is left
}

// TestSmuggled guards against a body that an upstream reads as a request of
// its own, whatever framing the caller uses.
func TestSmuggled(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, whole(200, "ok"))
	inner := "GET /once/smuggled HTTP/1.1\r\nHost: h.example\r\nJacinthbend-Request-Id: r9\r\n\r\n"
	c, err := net.Dial("tcp", w.addr)
	check.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("POST /once/a HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\nJacinthbend-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"51\r\n" + inner + strings.Repeat("x", 0x51-len(inner)) + "\r\n0\r\n\r\n"))
	check.NoErr(err)
	check.Equal(w.read(c, "POST").status, 200)
	check.Equal(len(w.seen()), 1)
	check.True(strings.HasPrefix(w.seen()[0].body, inner))
}

// TestAnswers guards against an answer that reaches the caller changed.
func TestAnswers(t *testing.T) {
	for _, row := range []struct {
		name   string
		path   string
		s      script
		status int
		body   string
	}{
		{"not found without a body", "/once/", whole(404, ""), 404, ""},
		{"no content", "/once/", whole(204, ""), 204, ""},
		{"the upstream's own error", "/once/", whole(500, "oops"), 500, "oops"},
		{"redirect", "/safe/", whole(302, "x", "Location: /y"), 302, "x"},
		{"binary", "/safe/", whole(200, "\x00\x01\xff"), 200, "\x00\x01\xff"},
		{"without a length", "/safe/", raw(head(200, "r1") + "\r\nall"), 200, "all"},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			a := newWorld(t, row.s).send("GET", row.path, "")
			check.NoErr(a.err)
			check.Equal(a.status, row.status)
			check.Equal(a.body, row.body)
			check.Equal(a.header.Get("Jacinthbend-Server-Stamp"), "st")
			check.Equal(a.header.Get("Jacinthbend-Server-Load"), "")
		})
	}
}

// TestRefusals guards against a request that is refused with the wrong status,
// or that reaches an upstream although it is refused.
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
		{"unreadable tokens", "/once/", "", []string{"Jacinthbend-Token-Count: x"}, 400},
		{"no upstream", "/nowhere/", "", nil, 503},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			w := newWorld(t, whole(200, "ok"))
			a := w.send("POST", row.path, row.body, row.header...)
			check.Equal(a.status, row.status)
			check.True(strings.Contains(a.body, `"ran":"no"`)) // every refusal says so
			check.Equal(len(w.seen()), 0)
		})
	}
	check := is.New(t)
	check.Equal(newWorld(t, whole(200, "ok")).send("GET", "/public/", "", "X-Api-Key: nope").status, 200)
}

// TestOverRate guards against a team over its rate that is served, against a
// refusal without the time to come back, and against tokens that a request
// which did not run keeps.
func TestOverRate(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, whole(200, "ok"))
	check.Equal(w.send("GET", "/safe/", "", "X-Api-Key: poor").status, 200)
	a := w.send("GET", "/safe/", "", "X-Api-Key: poor")
	check.Equal(a.status, 429)
	check.True(a.header.Get("Retry-After") != "")
	check.Equal(len(w.seen()), 1)

	w = newWorld(t, notRun(503))
	for range 3 {
		check.Equal(w.send("GET", "/safe/", "", "X-Api-Key: poor").status, 503) // not 429
	}
}

// TestDraining guards against an instance that cuts off requests which still
// reach it while the platform takes it out, and against one that takes them to
// the end.
func TestDraining(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, whole(200, "ok"))
	_, err := w.machine.Drain(t.Context())
	check.NoErr(err)
	a := w.send("GET", "/safe/", "")
	check.Equal(a.status, 200)
	check.True(a.close)
	// A request that is over before the end is served, a longer one is not.
	w.gateway.SetExitTime(time.Now().Add(time.Second))
	check.Equal(w.send("POST", "/short/", "").status, 200)
	a = w.send("GET", "/safe/", "")
	check.Equal(a.status, 503)
	check.True(a.header.Get("Retry-After") != "")
	check.Equal(len(w.seen()), 2)
}

// TestStarting guards against requests that are refused by an instance which will
// serve in a moment, when no other one does either, and against a refusal that
// says that it is shutting down.
func TestStarting(t *testing.T) {
	check := is.New(t)
	w := newStartingWorld(t, whole(200, "ok"))
	answers := make(chan answer, 1)
	go func() { answers <- w.send("GET", "/safe/", "") }()
	w.eventually("connection", func() bool { return w.accepted.Load() > 0 })
	check.NoErr(w.machine.Serve())
	check.Equal((<-answers).status, 200)

	w = newStartingWorld(t, whole(200, "ok"))
	a := w.send("GET", "/safe/", "", "Jacinthbend-Deadline-Ms: 100")
	check.Equal(a.status, 503)
	check.True(strings.Contains(a.body, "starting"))
	check.True(a.header.Get("Retry-After") != "")
}

// TestDrainingWhileWaiting guards against a request that gets no answer because
// it still waited for a model when its instance ended.
func TestDrainingWhileWaiting(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, chunks(true, event1))
	w.engines()
	release, left := w.loader.holdLoads()
	answers := make(chan answer, 1)
	go func() { answers <- w.send("POST", "/model/", "x", "Jacinthbend-Model: m/a1") }()
	w.eventually("request in work", func() bool { return w.machine.Running() > 0 })
	w.gateway.RefuseWaiting()
	select {
	case <-left:
		// The load goes on without its caller.
	case a := <-answers:
		answers <- a // refused before it asked for the load
	case <-time.After(testPatience):
		t.Fatal("the wait for the load did not end")
	}
	release()
	a := <-answers
	check.NoErr(a.err)
	check.Equal(a.status, 503)
	check.True(a.header.Get("Retry-After") != "")
	check.Equal(len(w.seen()), 0)
}

// TestTimeout guards against a request that is held past its route's timeout,
// and against a claim that it has not run.
func TestTimeout(t *testing.T) {
	check := is.New(t)
	block := make(chan struct{})
	defer close(block)
	w := newWorld(t, func(net.Conn, arrival) bool { <-block; return false })
	start := time.Now()
	a := w.send("POST", "/short/", "")
	check.Equal(a.status, 504)
	check.True(time.Since(start) < time.Second)
	check.Equal(a.header.Get("Retry-After"), "")
}

// TestCallerLeaves guards against an upstream that works on for a caller who
// has gone.
func TestCallerLeaves(t *testing.T) {
	check := is.New(t)
	arrived := make(chan struct{})
	w := newWorld(t, func(net.Conn, arrival) bool { close(arrived); return true })
	c, err := net.Dial("tcp", w.addr)
	check.NoErr(err)
	w.write(c, "GET", "/safe/", "")
	<-arrived
	check.NoErr(c.Close())
	select {
	case err := <-w.closed:
		// An ordinary close lets bytes that are held up on the way arrive later.
		check.True(errors.Is(err, syscall.ECONNRESET))
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream's connection stays open")
	}
}
