package gateway_test

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	event1 = "id: 1\ndata: a\n\n"
	event2 = "id: 2\ndata: b\n\n"
	event3 = "id: 3\ndata: c\n\n"
)

// TestStream guards against a stream that is changed on the way.
func TestStream(t *testing.T) {
	check := is.New(t)
	a := newWorld(t, chunks(true, event1, event2[:5], event2[5:]+event3)).send("POST", "/stream/", "x")
	check.NoErr(a.err)
	check.Equal(a.status, 200)
	check.Equal(a.body, event1+event2+event3)
	check.Equal(a.header.Get("Content-Type"), "text/event-stream")
	check.Equal(a.header.Get("Jacinthbend-Server-Stamp"), "st")
}

// TestStreamArrives guards against events that are held back until others come.
func TestStreamArrives(t *testing.T) {
	check := is.New(t)
	next := make(chan struct{})
	w := newWorld(t, func(c net.Conn, a arrival) bool {
		chunks(false, event1)(c, a)
		<-next
		_, err := c.Write([]byte("0\r\n\r\n"))
		return err == nil
	})
	c, err := net.Dial("tcp", w.addr)
	check.NoErr(err)
	defer func() { _ = c.Close() }()
	w.write(c, "POST", "/stream/", "x")
	check.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	var got strings.Builder
	buf := make([]byte, 1024)
	for !strings.Contains(got.String(), event1) {
		n, err := c.Read(buf)
		check.NoErr(err) // the first event comes before the second is made
		got.Write(buf[:n])
	}
	close(next)
}

// TestBrokenStream guards against a stream that breaks and looks complete.
func TestBrokenStream(t *testing.T) {
	for name, s := range map[string]script{
		"between events":     chunks(false, event1, event2),
		"inside an event":    chunks(false, event1, event2[:9]),
		"ends inside one":    chunks(true, event1, event2[:9]),
		"event missing":      chunks(true, event1, event3),
		"event twice":        chunks(true, event1, event1),
		"without a length":   raw(head(200, "r1", "Content-Type: text/event-stream") + "\r\n" + event1 + event2[:9]),
		"not the right size": raw(head(200, "r1", "Transfer-Encoding: chunked") + "\r\nf\r\n" + event1 + "\r\nzz\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			w := newWorld(t, s, chunks(true, event1, event2, event3))
			a := w.send("POST", "/stream/", "x")
			check.True(a.err != nil) // must not look complete
			check.True(strings.HasPrefix(event1+event2+event3, a.body))
			check.Equal(len(w.seen()), 1)
		})
	}
}

// TestBreaksBeforeFirstEvent guards against a stream that may not be repeated
// being run again because the caller has seen nothing of it.
func TestBreaksBeforeFirstEvent(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, chunks(false), chunks(true, event1))
	a := w.send("POST", "/stream/", "x")
	check.Equal(a.status, 502)
	check.Equal(len(w.seen()), 1)
}

// TestStreamNotRun guards against a stream that fails although its upstream has
// said that it did not run it.
func TestStreamNotRun(t *testing.T) {
	check := is.New(t)
	a := newWorld(t, notRun(503), chunks(true, event1)).send("POST", "/stream/", "x")
	check.NoErr(a.err)
	check.Equal(a.body, event1)
}

// TestResume guards against a resumed stream in which an event is missing,
// comes twice, or comes from other weights.
func TestResume(t *testing.T) {
	for _, row := range []struct {
		name   string
		first  script
		after  string
		second script
	}{
		{"between events", chunks(false, event1, event2), "2", chunks(true, event3)},
		{"inside an event", chunks(false, event1, event2[:9]), "1", chunks(true, event2, event3)},
		{"ends inside an event", chunks(true, event1, event2[:9]), "1", chunks(true, event2, event3)},
		{"before the first event", chunks(false), "", chunks(true, event1, event2, event3)},
		{"no answer", hangUp, "", chunks(true, event1, event2, event3)},
		{"event missing", chunks(true, event1, event3), "1", chunks(true, event2, event3)},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			w := newWorld(t, row.first, row.second)
			a := w.send("POST", "/resume/", "x")
			check.NoErr(a.err)
			check.Equal(a.body, event1+event2+event3)
			got := w.seen()
			check.Equal(len(got), 2)
			check.Equal(got[1].header.Get("Last-Event-Id"), row.after)
			if row.after != "" {
				check.Equal(got[1].header.Get("Jacinthbend-Expect-Version"), "4")
			}
		})
	}
}

// TestResumeFails guards against a stream that goes on with what does not
// follow, or that ends as if complete when no upstream goes on.
func TestResumeFails(t *testing.T) {
	for name, second := range map[string]script{
		"begins anew":       chunks(true, event1, event2, event3),
		"skips":             chunks(true, event3),
		"refused":           notRun(503),
		"upstream's error":  whole(500, "oops"),
		"closed":            hangUp,
		"breaks once more":  chunks(false),
		"bytes of no event": chunks(true, "junk"),
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			a := newWorld(t, chunks(false, event1), second).send("POST", "/resume/", "x")
			check.True(a.err != nil) // must not look complete
			check.Equal(a.body, event1)
		})
	}
}

// TestCallerResumes guards against the caller's own Last-Event-Id being lost
// or checked against the wrong event.
func TestCallerResumes(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, chunks(false, event2), chunks(true, event3))
	a := w.send("POST", "/resume/", "x", "Last-Event-Id: 1")
	check.NoErr(a.err)
	check.Equal(a.body, event2+event3)
	check.Equal(w.seen()[0].header.Get("Last-Event-Id"), "1")
	check.Equal(w.seen()[1].header.Get("Last-Event-Id"), "2")
}

// TestResumeNeedsLoad guards against a stream that ends as if complete because
// the engine at which it should go on cannot load the model.
func TestResumeNeedsLoad(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, chunks(false, event1), chunks(true, event2))
	w.engines()
	a := w.send("POST", "/model/", "x", "Jacinthbend-Model: m")
	check.NoErr(a.err)
	check.Equal(a.body, event1+event2)
	check.Equal(w.loader.asked, []string{"m/"})

	w = newWorld(t, chunks(false, event1), chunks(true, event2))
	w.engines()
	w.loader.set(true)
	a = w.send("POST", "/model/", "x", "Jacinthbend-Model: m")
	check.True(a.err != nil) // must not look complete
	check.Equal(a.body, event1)
}

// TestOnlyInWeightStore guards against a request that is held for a model which
// cannot be loaded in time, and against a load from the weight store for it.
func TestOnlyInWeightStore(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, chunks(true, event1))
	w.engines()
	start := time.Now()
	a := w.send("POST", "/model/", "x", "Jacinthbend-Model: s")
	check.Equal(a.status, 503)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	check.NoErr(err)
	check.True(after >= 6) // the load takes that long
	check.True(time.Since(start) < time.Second)
	check.Equal(len(w.loader.asked), 0)
}

// TestNoLoad guards against a request without any answer when no engine can
// load its model.
func TestNoLoad(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, chunks(true, event1), chunks(true, event1))
	w.engines()
	w.loader.set(true)
	a := w.send("POST", "/model/", "x", "Jacinthbend-Model: m/a1")
	check.Equal(a.status, 503)
	check.True(a.header.Get("Retry-After") != "")
	check.Equal(len(w.seen()), 0)
}

// TestStall guards against a request that waits until its deadline at an
// upstream whose machine stands still, although another one may run it; and
// against one that may not be repeated being run again.
func TestStall(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	stall := func(first script) script {
		return func(c net.Conn, a arrival) bool {
			first(c, a)
			<-block
			return false
		}
	}
	// silence reports the first upstream's machine as silent again and again, as
	// the watcher of a machine that stands still does.
	silence := func(w *world) {
		w.eventually("request at an upstream", func() bool { return len(w.seen()) > 0 })
		w.eventually("end of the request", func() bool {
			w.pool.AgentUnreachable("i-0", true)
			return w.machine.Running() == 0
		})
	}
	t.Run("stream", func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t, stall(chunks(false, event1)), chunks(true, event2))
		go silence(w)
		start := time.Now()
		a := w.send("POST", "/resume/", "x")
		check.NoErr(a.err)
		check.Equal(a.body, event1+event2)
		check.True(time.Since(start) < 2*time.Second)
	})
	t.Run("before the first event", func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t, stall(func(net.Conn, arrival) bool { return true }), chunks(true, event1))
		go silence(w)
		a := w.send("POST", "/resume/", "x")
		check.NoErr(a.err)
		check.Equal(a.body, event1)
	})
	t.Run("may not be repeated", func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t, stall(func(net.Conn, arrival) bool { return true }), chunks(true, event1))
		go silence(w)
		a := w.send("POST", "/stream/", "x")
		check.Equal(a.status, 504)
		check.Equal(len(w.seen()), 1)
	})
	t.Run("plain", func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t, stall(func(net.Conn, arrival) bool { return true }), whole(200, "second"))
		a := w.send("GET", "/safe/", "")
		check.Equal(a.status, 200)
		check.Equal(a.body, "second")
	})
}

// TestLoadAtSilentMachine guards against a request that waits for a load at a
// machine that stands still, although another engine can load the model.
func TestLoadAtSilentMachine(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, chunks(true, event1), chunks(true, event1))
	w.engines()
	release, left := w.loader.holdLoads()
	answers := make(chan answer, 1)
	go func() { answers <- w.send("POST", "/model/", "x", "Jacinthbend-Model: m/a1") }()
	w.eventually("load asked for", func() bool { return w.loader.held() })
	w.eventually("end of the wait", func() bool {
		w.pool.AgentUnreachable("i-0", true)
		select {
		case <-left:
			return true
		default:
			return false
		}
	})
	release()
	a := <-answers
	check.Equal(a.status, 200)
	check.Equal(w.seen()[0].upstream, "i-1")
}

// TestHangingUpstream guards against requests that go on to an upstream at which
// others have waited until their time was up.
func TestHangingUpstream(t *testing.T) {
	check := is.New(t)
	block := make(chan struct{})
	defer close(block)
	w := newWorld(t, func(net.Conn, arrival) bool { <-block; return false }, whole(200, "ok"))
	check.Equal(w.send("POST", "/short/", "").status, 504)
	check.Equal(w.send("POST", "/short/", "").status, 200)
	check.Equal(w.send("POST", "/short/", "").status, 200)
}

// TestCallerLeavesDuringLoad guards against a request that is sent to an engine
// after its caller left while the model was loaded.
func TestCallerLeavesDuringLoad(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, chunks(true, event1), chunks(true, event1))
	w.engines()
	// Leaves an idle connection, on which a request could be sent at once.
	check.Equal(w.send("POST", "/model/", "x", "Jacinthbend-Model: m").body, event1)
	release, left := w.loader.holdLoads()
	c, err := net.Dial("tcp", w.addr)
	check.NoErr(err)
	w.write(c, "POST", "/model/", "x", "Jacinthbend-Model: m/a1")
	w.eventually("request in work", func() bool { return w.machine.Running() > 0 })
	check.NoErr(c.Close())
	select {
	case <-left:
	case <-time.After(testPatience):
		t.Fatal("the gateway did not notice that the caller left")
	}
	release()
	w.waitIdle()
	check.Equal(len(w.seen()), 1)
}
