package strictconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/responsetest"
)

// byteConn is a connection on which the peer has sent bytes and ended its direction.
type byteConn struct {
	net.Conn
	r io.Reader
}

func (c byteConn) Read(p []byte) (int, error)     { return c.r.Read(p) }
func (byteConn) Write(p []byte) (int, error)      { return len(p), nil }
func (byteConn) SetWriteDeadline(time.Time) error { return nil }

// read returns the first response on a connection with the given bytes.
func read(c *Conn, method string) (status int, body string, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// TestParts guards against checks that depend on how a response is split into reads.
func TestParts(t *testing.T) {
	for _, delimit := range []bool{false, true} {
		for _, r := range append(append([]responsetest.Response{}, responsetest.Invalid...), responsetest.Sound...) {
			if r.End == responsetest.Reset {
				continue
			}
			check := is.New(t)
			data := []byte(r.Bytes("X-A: b\r\n"))
			whole, parts := New(byteConn{r: bytes.NewReader(data)}, "server"), New(byteConn{r: iotest.OneByteReader(bytes.NewReader(data))}, "server")
			if delimit {
				whole.DelimitBodies()
				parts.DelimitBodies()
			}
			status, body, err := read(whole, http.MethodGet)
			partStatus, partBody, partErr := read(parts, http.MethodGet)
			check.Equal([]any{status, body, err == nil}, []any{partStatus, partBody, partErr == nil})
		}
	}
}

// TestHeadRequest guards against a response to a HEAD request whose length is waited for, and against the
// response to the request after it that is taken for the rest of it.
func TestHeadRequest(t *testing.T) {
	check := is.New(t)
	head := "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
	c := New(byteConn{r: strings.NewReader(head + head + responsetest.Body)}, "server")
	r := bufio.NewReader(c)
	for _, method := range []string{http.MethodHead, http.MethodGet} {
		_, err := io.WriteString(c, method+" / HTTP/1.1\r\n\r\n")
		check.NoErr(err)
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		check.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		check.NoErr(err)
		check.Equal(string(body) == responsetest.Body, method == http.MethodGet)
	}
	_, err := r.ReadByte()
	check.Equal(err, io.EOF)
}

// TestUnread guards against bytes after a response that are taken for the next one.
func TestUnread(t *testing.T) {
	sound := responsetest.Sound[0].Bytes("")
	for _, row := range []struct {
		after  string
		unread bool
	}{{"", false}, {"H", true}, {"x", true}, {sound, true}} {
		check := is.New(t)
		c := New(byteConn{r: strings.NewReader(sound + row.after)}, "server")
		buf := make([]byte, len(sound)+len(row.after))
		n, err := io.ReadFull(c, buf[:len(sound)])
		check.NoErr(err)
		check.Equal(string(buf[:n]), sound)
		check.Equal(c.HasUnread(), row.unread)
		check.True(!c.Idle())
	}
}

// TestIdle guards against a connection that is used although it has ended or bytes have arrived.
func TestIdle(t *testing.T) {
	check := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	defer func() { _ = ln.Close() }()
	for name, end := range map[string]func(net.Conn) error{
		"ended": net.Conn.Close,
		"bytes": func(c net.Conn) error { _, err := c.Write([]byte("x")); return err },
	} {
		c, err := Dial(context.Background(), &net.Dialer{}, ln.Addr().String())
		check.NoErr(err)
		server, err := ln.Accept()
		check.NoErr(err)
		check.True(c.Idle())
		check.NoErr(end(server))
		for limit := time.Now().Add(5 * time.Second); c.Idle(); time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("%s: still idle", name)
			}
		}
		_ = server.Close()
		c.Abort()
	}
}

// TestTimeout guards against a read that times out and makes the rest of a response unreadable.
func TestTimeout(t *testing.T) {
	check := is.New(t)
	server, client := net.Pipe()
	defer func() { _ = server.Close() }()
	c := New(client, "server")
	sound := responsetest.Sound[0].Bytes("")
	go func() { _, _ = io.WriteString(server, sound[:20]) }()
	buf := make([]byte, len(sound))
	check.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	n, err := c.Read(buf)
	var timeout net.Error
	check.True(n == 0 && errors.As(err, &timeout) && timeout.Timeout())
	check.NoErr(c.SetReadDeadline(time.Time{}))
	go func() { _, _ = io.WriteString(server, sound[20:]) }()
	_, err = io.ReadFull(c, buf)
	check.NoErr(err)
	check.Equal(string(buf), sound)
}

// failingReader returns errors after its data.
type failingReader struct {
	data   io.Reader
	errors []error
}

func (r *failingReader) Read(p []byte) (int, error) {
	n, err := r.data.Read(p)
	if n > 0 || err == nil {
		return n, nil
	}
	err = r.errors[0]
	r.errors = r.errors[1:]
	return 0, err
}

// TestErrorReportedOnce guards against a response without a length that looks complete because the kernel
// reports an error to one read only.
func TestErrorReportedOnce(t *testing.T) {
	for _, first := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT} {
		check := is.New(t)
		c := New(byteConn{r: &failingReader{strings.NewReader("HTTP/1.1 200 OK\r\n\r\nbody"), []error{first, io.EOF}}}, "server")
		_, err := io.ReadAll(c)
		check.True(errors.Is(err, first))
		_, err = io.ReadAll(c)
		check.True(errors.Is(err, first))
	}
}

// TestReported guards against invalid responses that show in no metric.
func TestReported(t *testing.T) {
	check := is.New(t)
	count := func(part string) uint64 {
		return Stats.GetOrCreateCounter(`jacinthbend_invalid_responses_total{part="` + part + `"}`).Get()
	}
	for part, data := range map[string]string{
		"status_line": "HTTP/1.1 000 x\r\n\r\n", "header": "HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n", "framing": "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
		"chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx\r\n\r\n", "end": "HTTP/1.1 200 OK\r\n",
	} {
		before := count(part)
		_, _, err := read(New(byteConn{r: strings.NewReader(data)}, "server"), http.MethodGet)
		check.True(err != nil)
		check.Equal(count(part), before+1)
	}
}
