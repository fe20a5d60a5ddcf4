package upstreamclient

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/strictconn"
)

const (
	// maxFlood is how much an upstream sends before it only keeps the connection open,
	// so that a client without limits cannot exhaust the memory of the machine. It is
	// far above all limits of the client.
	maxFlood    = 16 << 20
	testTimeout = 10 * time.Second
)

// repeat writes prefix once and then part, up to maxFlood or until the connection
// fails.
func repeat(prefix, part string) func(io.Writer, int, int) bool {
	part = strings.Repeat(part, 4096/len(part)+1)
	return func(w io.Writer, _, _ int) bool {
		_, err := io.WriteString(w, prefix)
		for sent := 0; err == nil && sent < maxFlood; sent += len(part) {
			_, err = io.WriteString(w, part)
		}
		return err == nil
	}
}

// TestEndlessHead guards against an upstream whose response head never ends and
// fills the memory of the instance until the deadline of the request.
func TestEndlessHead(t *testing.T) {
	for name, answer := range map[string]func(io.Writer, int, int) bool{
		"status line":           repeat("HTTP/1.1 200 ", "O"),
		"one header line":       repeat("HTTP/1.1 200 OK\r\nX: ", "x"),
		"many header lines":     repeat("HTTP/1.1 200 OK\r\n", "X: x\r\n"),
		"informational":         repeat("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		"informational header":  repeat("HTTP/1.1 103 Early Hints\r\nX: ", "x"),
		"stray responses":       repeat("", responseTo("other", "stray")),
		"body of stray":         repeat("HTTP/1.1 200 OK\r\n"+idHeader+": other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"),
		"body without a length": repeat("HTTP/1.1 200 OK\r\n"+idHeader+": other\r\n\r\n", "body"),
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			u := startUpstream(t, answer)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			_, err := newTestClient().Do(ctx, u.addr, testRequest("r"))
			var f *Failure
			check.True(errors.As(err, &f))          // the exchange must fail
			check.Equal(f.Stage, BadResponse)       // and say that the bytes are no response
			check.NoErr(ctx.Err())                  // before the deadline
			check.True(u.written.Load() < maxFlood) // and before the upstream has sent much
		})
	}
}

// TestHeadLines guards against a head of many short lines, which takes many times its length in memory
// before it reaches the limit in bytes, and against refusing one with as many lines as are allowed.
func TestHeadLines(t *testing.T) {
	for _, row := range []struct {
		lines int
		ok    bool
	}{{strictconn.MaxLines - 4, true}, {16 << 10 / len("X: x\r\n"), false}} {
		check := is.New(t)
		u := startUpstream(t, func(w io.Writer, _, _ int) bool {
			_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\n"+strings.Repeat("X: x\r\n", row.lines)+idHeader+": r\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		})
		resp, err := newTestClient().Do(t.Context(), u.addr, testRequest("r"))
		check.Equal(err == nil, row.ok)
		if err == nil {
			check.Equal(len(resp.Header["X"]), row.lines)
			resp.Close(true)
			continue
		}
		check.True(errors.Is(err, strictconn.ErrTooManyLines))
	}
}

// TestEndlessBody guards against a chunked body whose chunk extension or trailer
// never ends.
func TestEndlessBody(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": r\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]func(io.Writer, int, int) bool{
		"one chunk extension":   repeat(head+"4;x=", "x"),
		"many chunk extensions": repeat(head, "1;x="+strings.Repeat("x", 2000)+"\r\nb\r\n"),
		"one trailer":           repeat(head+"4\r\nbody\r\n0\r\nX: ", "x"),
		"many trailers":         repeat(head+"4\r\nbody\r\n0\r\n", "X: x\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			u := startUpstream(t, answer)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			resp, err := newTestClient().Do(ctx, u.addr, testRequest("r"))
			check.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			check.True(err != nil) // the response must not look complete
			check.NoErr(ctx.Err())
			resp.Close(false)
			check.True(u.written.Load() < maxFlood)
		})
	}
}

// TestDiscard guards against a response that nobody needs, but whose body keeps the
// request waiting: without end, or as a trickle.
func TestDiscard(t *testing.T) {
	head := "HTTP/1.1 503 x\r\n" + idHeader + ": r\r\nTransfer-Encoding: chunked\r\n\r\n"
	trickle := func(w io.Writer, _, _ int) bool {
		_, err := io.WriteString(w, head)
		for err == nil {
			time.Sleep(time.Millisecond)
			_, err = io.WriteString(w, "1\r\nb\r\n")
		}
		return false
	}
	for name, answer := range map[string]func(io.Writer, int, int) bool{
		"endless": repeat(head, "4\r\nbody\r\n"),
		"trickle": trickle,
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			u := startUpstream(t, answer)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := newTestClient()
			resp, err := c.Do(ctx, u.addr, testRequest("r"))
			check.NoErr(err)
			check.NoErr(resp.Discard()) // what has arrived is valid
			check.NoErr(ctx.Err())
			check.True(u.written.Load() < maxFlood)
			check.Equal(c.idleCount(u.addr), 0) // the connection must not be reused
		})
	}
	t.Run("complete", func(t *testing.T) {
		check := is.New(t)
		u := startUpstream(t, func(w io.Writer, _, _ int) bool {
			_, err := io.WriteString(w, responseTo("r", "busy"))
			return err == nil
		})
		c := newTestClient()
		resp, err := c.Do(context.Background(), u.addr, testRequest("r"))
		check.NoErr(err)
		check.NoErr(resp.Discard())
		check.Equal(c.idleCount(u.addr), 1)
	})
}
