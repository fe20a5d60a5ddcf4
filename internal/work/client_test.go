package work

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// kept is a sink that keeps everything.
type kept struct {
	chunks []string
	wholes []WholeResponse
}

// Check implements Sink.
func (k *kept) Check() error { return nil }

// Data implements Sink.
func (k *kept) Data(data []byte) error {
	k.chunks = append(k.chunks, string(data))
	return nil
}

// WholeResponse implements Sink.
func (k *kept) WholeResponse(w WholeResponse) error {
	k.wholes = append(k.wholes, w)
	return nil
}

func readAll(body string, stream bool) (kept, End, error) {
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(resp)
	resp.Header.SetContentType("text/event-stream")
	resp.SetBody([]byte(body))
	var k kept
	end, err := readAnswer(context.Background(), resp, AttemptRequest{Attempt: "a1", Stream: stream}, &k)
	return k, end, err
}

const (
	lastEvent  = "event: end\ndata: {\"attempt\":\"a1\"}\n\n"
	wholeEvent = "event: whole\ndata: {\"status\":200,\"body\":\"e30=\"}\n\n"
)

// TestReadAnswer guards against an answer that passes for whole although it
// was cut, crossed with another attempt's or mixed up (H10).
func TestReadAnswer(t *testing.T) {
	rows := []struct {
		name, body string
		stream     bool
		kind       errkind.Kind
	}{
		{"stream", "data: 1\n\nevent: ping\n\n" + lastEvent, true, ""},
		{"empty stream", lastEvent, true, ""},
		{"refused stream", wholeEvent + lastEvent, true, ""},
		{"whole", wholeEvent + lastEvent, false, ""},
		{"whole without its body", lastEvent, false, errkind.StreamCut},
		{"whole twice", wholeEvent + wholeEvent + lastEvent, false, errkind.StreamCut},
		{"whole after data", "data: 1\n\n" + wholeEvent + lastEvent, true, errkind.StreamCut},
		{"data after whole", wholeEvent + "data: 1\n\n" + lastEvent, true, errkind.StreamCut},
		{"data in a whole answer", "data: 1\n\n" + lastEvent, false, errkind.StreamCut},
		{"nothing", "", true, errkind.StreamCut},
		{"cut", "data: 1\n\n", true, errkind.StreamCut},
		{"cut in the type", "data: 1\n\nevent: en", true, errkind.StreamCut},
		{"cut in the last event", "data: 1\n\nevent: end\ndata: {\"attempt\":\"a", true, errkind.StreamCut},
		{"unknown event", "event: tool\ndata: 1\n\n" + lastEvent, true, errkind.StreamCut},
		{"another attempt", "data: 1\n\nevent: end\ndata: {\"attempt\":\"a2\"}\n\n", true, errkind.StreamCut},
		{"data after the end", lastEvent + "data: 1\n\n", true, errkind.StreamCut},
		{"failure of unknown kind", "event: error\ndata: {\"error\":{\"kind\":\"weird\",\"ran\":\"no\"}}\n\n", true, errkind.StreamCut},
		{"failure", "event: error\ndata: {\"error\":{\"kind\":\"upstream_crashed\"}}\n\n", true, errkind.UpstreamCrashed},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			k, end, err := readAll(row.body, row.stream)
			if row.kind == "" {
				check.NoErr(err)
				check.Equal(end.Attempt, "a1")
				return
			}
			check.True(errkind.Is(err, row.kind))
			check.Equal(errkind.From(err).Ran, errkind.RanUnknown)
			check.True(!slices.Contains(k.chunks, "")) // no part of a cut event is passed on
		})
	}
}

// FuzzReadAnswer guards against a panic and against a cut answer that is
// accepted as another answer than the whole one.
func FuzzReadAnswer(f *testing.F) {
	for _, body := range []string{
		"data: 1\n\ndata: 2\n\n" + lastEvent, wholeEvent + lastEvent, "event: ping\n\n" + lastEvent, lastEvent + lastEvent,
		"event: error\ndata: {}\n\n", "event: tool\ndata: 1\n\n" + lastEvent, "id: 1\nretry: 5\n: c\ndata\n\n", "\xef\xbb\xbfdata: 1\r\r" + lastEvent,
	} {
		f.Add(body, uint16(len(body)/2), true)
		f.Add(body, uint16(len(body)-3), false)
	}
	f.Fuzz(func(t *testing.T, body string, cut uint16, stream bool) {
		full, _, err := readAll(body, stream)
		if err != nil {
			return
		}
		part, _, err := readAll(body[:min(int(cut), len(body))], stream)
		if err != nil {
			return
		}
		same := func(a, b WholeResponse) bool {
			return a.Status == b.Status && a.ContentType == b.ContentType && bytes.Equal(a.Body, b.Body)
		}
		if !slices.Equal(part.chunks, full.chunks) || !slices.EqualFunc(part.wholes, full.wholes, same) {
			t.Fatalf("%q cut at %d passes for whole", body, cut)
		}
	})
}

// TestLargeWhole guards against an unstreamed answer that the event reader
// refuses for the length of its line.
func TestLargeWhole(t *testing.T) {
	check := is.New(t)
	body := []byte(strings.Repeat("x", 1<<20))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	h.POST(PathRun, func(_ context.Context, c *app.RequestContext) {
		a := StartResponse(c, "a1", "boot")
		defer a.Stop()
		_ = a.WholeResponse(WholeResponse{Status: http.StatusOK, Body: body})
		_ = a.End(End{Attempt: "a1"})
	})
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	client, err := NewClient()
	check.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var k kept
	_, err = client.Run(ctx, ln.Addr().String(), validOrder(), &k)
	check.NoErr(err)
	check.Equal(len(k.wholes), 1)
	check.True(bytes.Equal(k.wholes[0].Body, body))
}
