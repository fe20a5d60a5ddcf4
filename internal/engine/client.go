package engine

import (
	"bytes"
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// Paths of the engine API.
const (
	PathLoad        = "/orders/load"
	PathUnload      = "/orders/unload"
	PathMemoryState = "/orders/held"
	PathReport      = "/report"
	PathCancel      = "/cancel"
)

// HeaderRequestID carries the id under which a request can be cancelled.
const HeaderRequestID = "X-Request-Id"

// idleTimeout is how long a response may send no data before its connection is
// considered dead. Engines generate a token every 32 ms.
const idleTimeout = 10 * time.Second

// maxEventBytes bounds an event of a stream. The reader's default of 64 KiB is too
// small for a chunk with many log probabilities.
const maxEventBytes = 8 << 20

// eventError is the type of the event that an engine sends when it aborts a stream.
const eventError = "error"

// doneMarker is the last event of an OpenAI-style stream.
var doneMarker = []byte("[DONE]")

// Empty is the body of requests and responses without fields.
type Empty struct{}

// Report is the load that an engine reports. It lags behind the actual load.
type Report struct {
	BootID   string `json:"boot_id"`
	InFlight int    `json:"in_flight"`
	Waiting  int    `json:"waiting"`
}

// Client talks to one upstream over HTTP. It is safe for concurrent use.
type Client struct {
	addr   string
	calls  *peer.Client
	stream *client.Client
}

var _ CheckpointLoader = (*Client)(nil)

// NewClient returns a client of the upstream at addr (IP:port).
func NewClient(addr string) (*Client, error) {
	calls, err := peer.NewClient(loadTimeout)
	if err != nil {
		return nil, err
	}
	stream, err := peer.NewHTTPClient(idleTimeout, true)
	return &Client{addr: addr, calls: calls, stream: stream}, err
}

// loadTimeout bounds a call that loads or unloads a checkpoint. A load from the
// weight store may take minutes.
const loadTimeout = 5 * time.Minute

// Load implements CheckpointLoader.
func (c *Client) Load(ctx context.Context, req LoadRequest) error {
	return c.calls.Call(ctx, c.addr, PathLoad, req, &Empty{})
}

// Unload implements CheckpointLoader.
func (c *Client) Unload(ctx context.Context, req UnloadRequest) error {
	return c.calls.Call(ctx, c.addr, PathUnload, req, &Empty{})
}

// MemoryState implements CheckpointLoader.
func (c *Client) MemoryState(ctx context.Context) (MemoryState, error) {
	var state MemoryState
	err := c.calls.Call(ctx, c.addr, PathMemoryState, Empty{}, &state)
	return state, err
}

// Report returns the load that the engine reports.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var report Report
	err := c.calls.Call(ctx, c.addr, PathReport, Empty{}, &report)
	return report, err
}

// Request is a request to an upstream, as the caller sent it but without the
// caller's key.
type Request struct {
	// ID identifies the request at the upstream, so that it can be cancelled.
	ID          string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is forwarded to plain services; empty means none.
	IdempotencyKey string
	// Timeout bounds the whole call.
	Timeout time.Duration
}

// Response is an upstream's response that is not streamed.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do sends r and returns the complete response. An error means that the connection
// failed; the upstream may have run the request.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.fill(req, r)
	if err := c.stream.Do(ctx, req, resp); err != nil {
		return Response{}, errkind.Wrap(errkind.UpstreamFailed, "connection to the upstream failed", err)
	}
	body, err := resp.BodyE()
	if err != nil {
		return Response{}, errkind.Wrap(errkind.StreamCut, "the upstream's response ended early", err)
	}
	return Response{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        bytes.Clone(body),
	}, nil
}

// Stream sends r and calls onData with the data of each event except the final
// one, the doneMarker. The data is valid only during the call. Stream returns nil
// only after the doneMarker: a stream that ends without it is incomplete. A *ResponseError means
// that the upstream itself refused the request.
func (c *Client) Stream(ctx context.Context, r Request, onData func([]byte) error) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.fill(req, r)
	if err := c.stream.Do(ctx, req, resp); err != nil {
		return errkind.Wrap(errkind.UpstreamFailed, "connection to the upstream failed", err)
	}
	defer resp.CloseBodyStream()
	if resp.StatusCode() != consts.StatusOK {
		return streamError(resp)
	}
	err := readEvents(ctx, resp, onData)
	if err != nil {
		c.cancel(r.ID)
	}
	return err
}

// cancelTimeout bounds the call that cancels a request.
const cancelTimeout = time.Second

// CancelRequest asks the upstream to cancel a request.
type CancelRequest struct {
	ID string `json:"id"`
}

// cancel tells the upstream to stop a stream that the caller no longer reads.
// Without this call the engine would generate the whole stream, because the HTTP
// client reads a response to its end when it is closed.
func (c *Client) cancel(id string) {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	_ = c.calls.Call(ctx, c.addr, PathCancel, CancelRequest{ID: id}, &Empty{})
}

func readEvents(ctx context.Context, resp *protocol.Response, onData func([]byte) error) error {
	reader, err := sse.NewReader(resp)
	if err != nil {
		return errkind.Wrap(errkind.UpstreamFailed, "the upstream did not respond with an event stream", err)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	done := false
	var aborted error
	err = peer.ForEachEvent(ctx, resp, reader, func(e *sse.Event) error {
		if done || bytes.Equal(e.Data, doneMarker) {
			done = true
			return nil
		}
		if e.Type == eventError {
			aborted = errkind.New(errkind.UpstreamFailed, "the upstream's stream ended with an error event")
			return aborted
		}
		return onData(e.Data)
	})
	if aborted != nil {
		return aborted
	}
	if err != nil {
		return errkind.Wrap(errkind.StreamCut, "the upstream's stream ended early", err)
	}
	if !done {
		return errkind.New(errkind.StreamCut, "the upstream's stream ended without its final event")
	}
	return nil
}

func (c *Client) fill(req *protocol.Request, r Request) {
	req.SetMethod(r.Method)
	req.SetRequestURI("http://" + c.addr + r.Path)
	if r.ContentType != "" {
		req.Header.SetContentTypeBytes([]byte(r.ContentType))
	}
	if r.ID != "" {
		req.Header.Set(HeaderRequestID, r.ID)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	req.SetBodyRaw(r.Body)
	if r.Timeout > 0 {
		req.SetOptions(config.WithRequestTimeout(r.Timeout))
	}
}
