package engine

import (
	"context"
	"errors"
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

// startUpstream starts an upstream on loopback that gives every request the same
// response, and returns a client of it.
func startUpstream(t *testing.T, status int, contentType, body string) *Client {
	check := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	h.POST("/v1/completions", func(_ context.Context, c *app.RequestContext) { c.Data(status, contentType, []byte(body)) })
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	client, err := NewClient(ln.Addr().String())
	check.NoErr(err)
	return client
}

// TestStream checks that a request refused by the engine is not reported as a
// failure of the upstream, and that a stream that ends early is an error.
func TestStream(t *testing.T) {
	const events = "text/event-stream"
	rows := []struct {
		name              string
		status            int
		contentType, body string
		refusal           int
		kind              errkind.Kind
	}{
		{"complete", http.StatusOK, events, "data: 1\n\ndata: [DONE]\n\n", 0, ""},
		{"long chunk", http.StatusOK, events, "data: " + strings.Repeat("x", 100<<10) + "\n\ndata: [DONE]\n\n", 0, ""},
		{"cut", http.StatusOK, events, "data: 1\n\n", 0, errkind.StreamCut},
		{"error event", http.StatusOK, events, "data: 1\n\nevent: error\ndata: {}\n\ndata: [DONE]\n\n", 0, errkind.UpstreamFailed},
		{"no stream", http.StatusOK, "application/json", "{}", 0, errkind.UpstreamFailed},
		{"engine's own refusal", http.StatusBadRequest, "application/json", `{"error":{"message":"too long"}}`, http.StatusBadRequest, ""},
		{"plain refusal", http.StatusUnprocessableEntity, "text/plain", "no", http.StatusUnprocessableEntity, ""},
		{"refusal with a kind", http.StatusNotFound, "application/json", `{"error":{"kind":"model_not_found","ran":"no"}}`, 0, errkind.ModelNotFound},
		{"refusal with another system's kind", http.StatusBadRequest, "application/json", `{"error":{"kind":"weird"}}`, http.StatusBadRequest, ""},
		{"failure", http.StatusInternalServerError, "text/plain", "oops", 0, errkind.UpstreamFailed},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			c := startUpstream(t, row.status, row.contentType, row.body)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			err := c.Stream(ctx, Request{Method: http.MethodPost, Path: "/v1/completions"}, func([]byte) error { return nil })
			var refused *ResponseError
			check.Equal(errors.As(err, &refused), row.refusal != 0)
			switch {
			case refused != nil:
				check.Equal(refused.Response, Response{Status: row.refusal, ContentType: row.contentType, Body: []byte(row.body)})
			case row.kind != "":
				check.True(errkind.Is(err, row.kind))
			default:
				check.NoErr(err)
			}
		})
	}
}

func collectChunks(body string) ([]string, error) {
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(resp)
	resp.Header.SetContentType("text/event-stream")
	resp.SetBody([]byte(body))
	var chunks []string
	err := readEvents(context.Background(), resp, func(data []byte) error {
		chunks = append(chunks, string(data))
		return nil
	})
	return chunks, err
}

// FuzzReadEvents guards against a panic, and against a truncated stream that is
// accepted with other chunks than the complete one. It skips streams with chunks
// of several lines, since the reader can't tell such a chunk from its first lines.
func FuzzReadEvents(f *testing.F) {
	for _, body := range []string{
		"data: 1\n\ndata: [DONE]\n\n", "data: 1\n\ndata: [DONE]\n\ndata: 2\n\n", "data: [DONE]", "event: error\ndata: {}\n\ndata: [DONE]\n\n",
		"event: tool\ndata: 1\n\ndata: [DONE]\n\n", ": c\r\ndata:1\r\n\r\ndata:[DONE]\r\n\r\n", "id: 1\nretry: 5\n\n", "data\n\n",
	} {
		f.Add(body, uint16(len(body)/2))
		f.Add(body, uint16(len(body)-1))
	}
	f.Fuzz(func(t *testing.T, body string, cut uint16) {
		full, err := collectChunks(body)
		if err != nil || slices.ContainsFunc(full, func(chunk string) bool { return strings.Contains(chunk, "\n") }) {
			return
		}
		part, err := collectChunks(body[:min(int(cut), len(body))])
		if err == nil && !slices.Equal(part, full) {
			t.Fatalf("%q truncated at %d is accepted as complete", body, cut)
		}
	})
}
