package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

type message struct {
	N int `json:"n"`
}

func startServer(t *testing.T) string {
	check := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := NewServer(ln, ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	Handle(h.Engine, "/ask", func(_ context.Context, req message) (message, error) {
		if req.N < 0 {
			return req, errkind.New(errkind.OverRate, "too many").WithRetryAfter(2 * time.Second)
		}
		return message{N: req.N + 1}, nil
	})
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	return ln.Addr().String()
}

// TestBadBody guards against a request body that is not the expected JSON but
// is handled as a message with empty fields.
func TestBadBody(t *testing.T) {
	addr := startServer(t)
	for _, body := range []string{"", "{", `{"n":"1"}`, `[]`, `{"n":1e30}`, `{} {}`, "\xff"} {
		check := is.New(t)
		resp, err := http.Post("http://"+addr+"/ask", "application/json", bytes.NewReader([]byte(body)))
		check.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		check.NoErr(err)
		check.NoErr(resp.Body.Close())
		var b errkind.Body
		check.NoErr(json.Unmarshal(data, &b))
		check.Equal(b.Error.Kind, errkind.InvalidRequest)
		check.Equal(resp.StatusCode, http.StatusBadRequest)
	}
}

// TestCall guards against an error response that loses its kind, its "not run"
// claim or its retry delay in transit, and against a lost connection that is
// reported as "not run" (H11).
func TestCall(t *testing.T) {
	check := is.New(t)
	addr := startServer(t)
	c, err := NewClient(time.Second)
	check.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var resp message
	check.NoErr(c.Call(ctx, addr, "/ask", message{N: 1}, &resp))
	check.Equal(resp.N, 2)
	refused := errkind.From(c.Call(ctx, addr, "/ask", message{N: -1}, &resp))
	check.Equal(refused.Kind, errkind.OverRate)
	check.Equal(refused.Ran, errkind.RanNo)
	check.Equal(refused.RetryAfter, 2*time.Second)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	check.NoErr(ln.Close())
	lost := errkind.From(c.Call(ctx, ln.Addr().String(), "/ask", message{}, &resp))
	check.Equal(lost.Kind, errkind.UpstreamUnavailable)
	check.Equal(lost.Ran, errkind.RanUnknown)
}

// TestDecodeError guards against passing on an error kind that is not in the
// closed list, and against a "not run" claim that the peer did not make.
func TestDecodeError(t *testing.T) {
	rows := []struct {
		body string
		kind errkind.Kind
		ran  errkind.Ran
	}{
		{`{"error":{"kind":"upstream_busy","ran":"no"}}`, errkind.UpstreamBusy, errkind.RanNo},
		{`{"error":{"kind":"upstream_busy"}}`, errkind.UpstreamBusy, errkind.RanUnknown},
		{`{"error":{"kind":"weird","ran":"no"}}`, errkind.UpstreamFailed, errkind.RanUnknown},
		{`{"error":"text"}`, errkind.UpstreamFailed, errkind.RanUnknown},
		{`Request Entity Too Large`, errkind.UpstreamFailed, errkind.RanUnknown},
		{``, errkind.UpstreamFailed, errkind.RanUnknown},
	}
	for _, row := range rows {
		check := is.New(t)
		e := errkind.From(DecodeError(http.StatusBadGateway, []byte(row.body)))
		check.Equal(e.Kind, row.kind)
		check.Equal(e.Ran, row.ran)
	}
}
