package gateway_test

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestAtMostOnce guards against a request that may not be repeated reaching a
// second upstream after it may have run, and against an answer which promises
// that it has not (H11, H12).
func TestAtMostOnce(t *testing.T) {
	for name, s := range map[string]script{
		"closed without an answer": hangUp,
		"not HTTP":                 raw("garbage\r\n\r\n"),
		"cut head":                 raw("HTTP/1.1 200 OK\r\nJacinthbend-Server-St"),
		"cut body":                 raw(head(200, "r1") + "Content-Length: 10\r\n\r\nabc"),
		"no stamp":                 raw("HTTP/1.1 200 OK\r\nJacinthbend-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"),
		"encoded":                  raw(head(200, "r1", "Content-Encoding: gzip") + "Content-Length: 2\r\n\r\nok"),
		"only another's answer":    raw(head(200, "r2") + "Content-Length: 2\r\n\r\nno"),
		"no id":                    raw("HTTP/1.1 200 OK\r\nJacinthbend-Server-Stamp: st\r\nContent-Length: 2\r\n\r\nok"),
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			for _, path := range []string{"/once/", "/twice/"} {
				w := newWorld(t, s, whole(200, "second"))
				a := w.send("POST", path, "x")
				check.Equal(a.status, 502)
				check.Equal(len(w.seen()), 1)
				check.Equal(a.header.Get("Retry-After"), "")
				check.True(strings.Contains(a.body, `"ran":"unknown"`))
			}
		})
	}
}

// TestRepeat guards against a request that fails although another upstream may
// still run it.
func TestRepeat(t *testing.T) {
	for _, row := range []struct {
		name, path string
		first      script
	}{
		{"safe, closed", "/safe/", hangUp},
		{"safe, garbage", "/safe/", raw("garbage\r\n\r\n")},
		{"safe, cut body", "/safe/", raw(head(200, "r1") + "Content-Length: 10\r\n\r\nabc")},
		{"safe, error", "/safe/", whole(500, "oops")},
		{"safe, not run", "/safe/", notRun(503)},
		{"once, not run", "/once/", notRun(503)},
		{"once, another start", "/once/", notRun(421)},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			w := newWorld(t, row.first, whole(200, "second"))
			a := w.send("POST", row.path, "x")
			check.NoErr(a.err)
			check.Equal(a.status, 200)
			check.Equal(a.body, "second")
			check.Equal(len(w.seen()), 2)
		})
	}
}

// TestUnreachable guards against a request that is lost because its first
// upstream cannot be reached, also one that may not be repeated.
func TestUnreachable(t *testing.T) {
	check := is.New(t)
	for _, path := range []string{"/once/", "/safe/", "/stream/"} {
		w := newWorld(t, nil, chunks(true, event1))
		a := w.send("POST", path, "x")
		check.Equal(a.status, 200)
		check.Equal(a.body, event1)
	}
}

// TestLastError guards against an upstream's own error being replaced when no
// other upstream serves the request.
func TestLastError(t *testing.T) {
	check := is.New(t)
	a := newWorld(t, whole(500, "a"), whole(500, "b")).send("GET", "/safe/", "")
	check.Equal(a.status, 500)
	check.True(a.body == "a" || a.body == "b")
	check.Equal(a.header.Get("Jacinthbend-Server-Stamp"), "st")
	a = newWorld(t, whole(500, "a"), hangUp).send("GET", "/safe/", "")
	check.Equal(a.status, 500)
	check.Equal(a.body, "a")
}

// TestForeignAnswer guards against an extra answer, to an earlier request,
// that is given to the next caller on the connection (H10).
func TestForeignAnswer(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, func(c net.Conn, a arrival) bool {
		_, err := c.Write([]byte(head(200, "r0") + "Content-Length: 5\r\n\r\nwrong" + head(200, "r1") + "Content-Length: 5\r\n\r\nright"))
		return err == nil
	})
	check.Equal(w.send("POST", "/once/", "").body, "right")
}

// TestSurplusBytes guards against bytes after a complete answer being taken
// for the answer to the next request.
func TestSurplusBytes(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, func(c net.Conn, a arrival) bool {
		_, err := c.Write([]byte(head(200, "r1") + "Content-Length: 2\r\n\r\nok" + head(200, "r1") + "Content-Length: 5\r\n\r\nextra"))
		return err == nil
	})
	for range 3 {
		check.Equal(w.send("POST", "/once/", "").body, "ok")
	}
	check.Equal(w.connections(), 3)
}

// TestReuse guards against a new connection for each request.
func TestReuse(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, whole(200, "ok"))
	for range 5 {
		check.Equal(w.send("GET", "/safe/", "").status, 200)
	}
	check.Equal(w.connections(), 1)
}

// TestClosedIdle guards against a request that fails because the upstream closed
// the kept connection before it was sent.
func TestClosedIdle(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, func(c net.Conn, a arrival) bool {
		whole(200, "ok")(c, a)
		return false
	})
	for range 20 {
		check.Equal(w.send("POST", "/once/", "x").status, 200)
		<-w.hungUp
	}
}
