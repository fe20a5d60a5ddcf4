package strictconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"testing"
	"testing/iotest"

	"github.com/jacinthbend/jacinthbend/internal/responsetest"
)

var token = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+$")

// FuzzConn guards against invalid responses that are delivered, and against checks and parsers that
// disagree on where a response ends.
func FuzzConn(f *testing.F) {
	for _, r := range append(append([]responsetest.Response{}, responsetest.Invalid...), responsetest.Sound...) {
		f.Add([]byte(r.Bytes("X-A: b\r\n")), false)
		f.Add([]byte(r.Bytes("")), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, delimit bool) {
		c := New(byteConn{r: bytes.NewReader(data)}, "server")
		parts := New(byteConn{r: iotest.OneByteReader(bytes.NewReader(data))}, "server")
		if delimit {
			c.DelimitBodies()
			parts.DelimitBodies()
		}
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		if resp.StatusCode < 200 || resp.StatusCode > 599 {
			t.Errorf("status %d", resp.StatusCode)
		}
		for name := range resp.Header {
			if !token.MatchString(name) {
				t.Errorf("field %q", name)
			}
		}
		body, err := io.ReadAll(resp.Body)
		if err == nil && c.inBody && c.body.kind != untilEnd {
			t.Errorf("%q ends for the parser and not for the checks", data)
		}
		if err == nil && len(body) > len(data) {
			t.Errorf("%d bytes of body from %d bytes", len(body), len(data))
		}
		status, partBody, partErr := read(parts, http.MethodGet)
		if status != resp.StatusCode || partBody != string(body) || (partErr == nil) != (err == nil) {
			t.Errorf("%q in parts: %d %q %v instead of %d %q %v", data, status, partBody, partErr, resp.StatusCode, body, err)
		}
	})
}
