package dispatch

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

// recordingSink records everything that it receives.
type recordingSink struct {
	chunks         []string
	wholeResponses []WholeResponse
}

// Check implements Sink.
func (s *recordingSink) Check() error { return nil }

// Data implements Sink.
func (s *recordingSink) Data(data []byte) error {
	s.chunks = append(s.chunks, string(data))
	return nil
}

// WholeResponse implements Sink.
func (s *recordingSink) WholeResponse(whole WholeResponse) error {
	s.wholeResponses = append(s.wholeResponses, whole)
	return nil
}

func readAll(body string, stream bool) (recordingSink, End, error) {
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(resp)
	resp.Header.SetContentType("text/event-stream")
	resp.SetBody([]byte(body))
	var sink recordingSink
	end, err := readResponse(context.Background(), resp, AttemptRequest{Attempt: "a1", Stream: stream}, &sink)
	return sink, end, err
}

const (
	endEvent   = "event: end\ndata: {\"attempt\":\"a1\"}\n\n"
	wholeEvent = "event: whole\ndata: {\"status\":200,\"body\":\"e30=\"}\n\n"
)

// TestReadResponse guards against accepting a response that was cut off, belongs to
// another attempt or has its events in the wrong order (H10).
func TestReadResponse(t *testing.T) {
	rows := []struct {
		name, body string
		stream     bool
		kind       errkind.Kind
	}{
		{"stream", "data: 1\n\nevent: ping\n\n" + endEvent, true, ""},
		{"empty stream", endEvent, true, ""},
		{"whole response instead of a stream", wholeEvent + endEvent, true, ""},
		{"whole", wholeEvent + endEvent, false, ""},
		{"no whole event", endEvent, false, errkind.StreamCut},
		{"whole twice", wholeEvent + wholeEvent + endEvent, false, errkind.StreamCut},
		{"whole after data", "data: 1\n\n" + wholeEvent + endEvent, true, errkind.StreamCut},
		{"data after whole", wholeEvent + "data: 1\n\n" + endEvent, true, errkind.StreamCut},
		{"data in a response that is not streamed", "data: 1\n\n" + endEvent, false, errkind.StreamCut},
		{"no event", "", true, errkind.StreamCut},
		{"cut", "data: 1\n\n", true, errkind.StreamCut},
		{"cut in the event type", "data: 1\n\nevent: en", true, errkind.StreamCut},
		{"cut in the end event", "data: 1\n\nevent: end\ndata: {\"attempt\":\"a", true, errkind.StreamCut},
		{"unknown event type", "event: tool\ndata: 1\n\n" + endEvent, true, errkind.StreamCut},
		{"end of another attempt", "data: 1\n\nevent: end\ndata: {\"attempt\":\"a2\"}\n\n", true, errkind.StreamCut},
		{"data after the end", endEvent + "data: 1\n\n", true, errkind.StreamCut},
		{"error of unknown kind", "event: error\ndata: {\"error\":{\"kind\":\"weird\",\"ran\":\"no\"}}\n\n", true, errkind.StreamCut},
		{"error", "event: error\ndata: {\"error\":{\"kind\":\"upstream_crashed\"}}\n\n", true, errkind.UpstreamCrashed},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			sink, end, err := readAll(row.body, row.stream)
			if row.kind == "" {
				check.NoErr(err)
				check.Equal(end.Attempt, "a1")
				return
			}
			check.True(errkind.Is(err, row.kind))
			check.Equal(errkind.From(err).Ran, errkind.RanUnknown)
			check.True(!slices.Contains(sink.chunks, "")) // no part of a cut event reaches the sink
		})
	}
}

// FuzzReadResponse guards against a panic, and against a cut-off response that is
// accepted although it differs from the complete one.
func FuzzReadResponse(f *testing.F) {
	for _, body := range []string{
		"data: 1\n\ndata: 2\n\n" + endEvent, wholeEvent + endEvent, "event: ping\n\n" + endEvent, endEvent + endEvent,
		"event: error\ndata: {}\n\n", "event: tool\ndata: 1\n\n" + endEvent, "id: 1\nretry: 5\n: c\ndata\n\n", "\xef\xbb\xbfdata: 1\r\r" + endEvent,
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
		if !slices.Equal(part.chunks, full.chunks) || !slices.EqualFunc(part.wholeResponses, full.wholeResponses, same) {
			t.Fatalf("%q cut at %d is accepted as complete", body, cut)
		}
	})
}

// TestLargeWholeResponse guards against the event reader refusing a large response
// that is not streamed, because it is a single long line.
func TestLargeWholeResponse(t *testing.T) {
	check := is.New(t)
	body := []byte(strings.Repeat("x", 1<<20))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	h.POST(PathRun, func(_ context.Context, c *app.RequestContext) {
		w := StartResponse(c, "a1", "boot")
		defer w.Stop()
		_ = w.WholeResponse(WholeResponse{Status: http.StatusOK, Body: body})
		_ = w.End(End{Attempt: "a1"})
	})
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	client, err := NewClient()
	check.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var sink recordingSink
	_, err = client.Run(ctx, ln.Addr().String(), validAttemptRequest(), &sink)
	check.NoErr(err)
	check.Equal(len(sink.wholeResponses), 1)
	check.True(bytes.Equal(sink.wholeResponses[0].Body, body))
}
