package upstreamclient

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/responsetest"
	"github.com/jacinthbend/jacinthbend/internal/strictconn"
)

// byteConn is a connection on which the peer has sent bytes and closed.
type byteConn struct {
	net.Conn
	r io.Reader
}

func (c byteConn) Read(p []byte) (int, error)     { return c.r.Read(p) }
func (byteConn) SetReadDeadline(time.Time) error  { return nil }
func (byteConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzResponse guards against bytes of an upstream that end the process, against a
// response to another request that is taken for the expected one, and against an invalid
// response.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"", "\x00", "HTTP/1.1 200 OK\r\n\r\n", responseTo("r", "done"), responseTo("other", "stray") + responseTo("r", "done"),
		"HTTP/1.1 103 x\r\n\r\n" + responseTo("r", "done"), "HTTP/1.1 200 OK\r\n" + idHeader + ": r\r\nContent-Length: 99999999999\r\n\r\nb",
		"HTTP/1.1 200 OK\r\n" + idHeader + ": r\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nb", "HTTP/1.1 200 OK\r\n" + idHeader + ": r\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n" + idHeader + ": r\r\nContent-Length: -1\r\n\r\n", "HTTP/9.9 999 \r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	for _, r := range append(append([]responsetest.Response{}, responsetest.Invalid...), responsetest.Sound...) {
		f.Add([]byte(r.Bytes(idHeader + ": r\r\n")))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := NewClient(func(h http.Header) (string, time.Duration) { return h.Get(idHeader), 0 })
		resp, err := c.readResponse(newConn(strictconn.New(byteConn{r: bytes.NewReader(data)}, "upstream")), testRequest("r"))
		if err != nil {
			return
		}
		if resp.Header.Get(idHeader) != "r" {
			t.Errorf("response to %q taken for that to \"r\"", resp.Header.Get(idHeader))
		}
		if resp.StatusCode < 200 || resp.StatusCode > 599 {
			t.Errorf("status %d", resp.StatusCode)
		}
		for name := range resp.Header {
			if strings.ContainsAny(name, " \t\x00\x01\x7f") {
				t.Errorf("field %q", name)
			}
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if err == nil && n > int64(len(data)) {
			t.Errorf("%d bytes of body from %d bytes", n, len(data))
		}
	})
}
