package strictconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/responsetest"
)

// TestResetDuringUpload guards against a response that was broken off by a reset and looks complete because
// the write of the request got the error, and against an early response that is complete and lost.
func TestResetDuringUpload(t *testing.T) {
	for _, r := range responsetest.Early {
		t.Run(r.Name, func(t *testing.T) {
			check := is.New(t)
			raw, err := net.Dial("tcp", responsetest.ServeEarly(t, r.Response, ""))
			check.NoErr(err)
			defer func() { _ = raw.Close() }()
			c := New(raw, "server")
			written := make(chan error, 1)
			go func() {
				_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n"+strings.Repeat("x", responsetest.UploadBytes))
				written <- err
			}()
			if r.End != responsetest.HalfClose {
				check.True(<-written != nil) // before the response is read
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			check.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			check.Equal(err == nil, r.Complete)
			if r.Complete {
				check.Equal(string(body), responsetest.Body)
			}
		})
	}
}
