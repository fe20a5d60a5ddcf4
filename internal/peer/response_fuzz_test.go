package peer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	hresp "github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/jacinthbend/jacinthbend/internal/responsetest"
	"github.com/jacinthbend/jacinthbend/internal/strictconn"
)

// receivedConn is a connection on which the server has sent bytes and ended its direction.
type receivedConn struct {
	net.Conn
	r io.Reader
}

func (c receivedConn) Read(p []byte) (int, error)     { return c.r.Read(p) }
func (receivedConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzClientResponse guards against a response that hertz takes in another way than net/http: then one of
// them repairs it, or the checks don't know where it ends.
func FuzzClientResponse(f *testing.F) {
	for _, r := range append(append([]responsetest.Response{}, responsetest.Invalid...), responsetest.Sound...) {
		f.Add([]byte(r.Bytes("")))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := strictconn.New(receivedConn{r: bytes.NewReader(data)}, "server")
		c.DelimitBodies()
		conn := &boundedConn{responseConn: &responseConn{Conn: c, Writer: network.NewWriter(io.Discard)}}
		var got protocol.Response
		err := hresp.ReadHeaderAndLimitBody(&got, conn, maxResponseBytes)
		if err != nil {
			return
		}
		want, err := http.ReadResponse(bufio.NewReader(strictconn.New(receivedConn{r: bytes.NewReader(data)}, "server")), nil)
		if err != nil {
			t.Fatalf("%q: %v, but hertz takes it", data, err)
		}
		body, err := io.ReadAll(want.Body)
		if err != nil || got.StatusCode() != want.StatusCode || !bytes.Equal(got.Body(), body) {
			t.Fatalf("%q: %d %q instead of %d %q, %v", data, got.StatusCode(), got.Body(), want.StatusCode, body, err)
		}
	})
}
