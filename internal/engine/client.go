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

// Paths of an engine's orders and report.
const (
	PathLoad        = "/orders/load"
	PathUnload      = "/orders/unload"
	PathMemoryState = "/orders/held"
	PathReport      = "/report"
	PathCancel      = "/cancel"
)

// HeaderRequestID carries the id under which a request can be cancelled.
const HeaderRequestID = "X-Request-Id"

// silence is the longest time without data on an engine's answer before the
// connection counts as dead. Engines generate a token every 32 ms.
const silence = 10 * time.Second

// maxEventBytes bounds one event of a stream; the reader's own limit of 64 KiB
// is too short for a chunk with many log probabilities.
const maxEventBytes = 8 << 20

// eventError is the type of an event by which an engine gives up a stream.
const eventError = "error"

// doneMarker is the last event of an OpenAI-style stream.
var doneMarker = []byte("[DONE]")

// Empty is the body of requests and answers without fields.
type Empty struct{}

// Report is an engine's lagging view of its own load.
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
	stream, err := peer.NewHTTPClient(silence, true)
	return &Client{addr: addr, calls: calls, stream: stream}, err
}

// loadTimeout bounds an order; a load from the remote store may take minutes.
const loadTimeout = 5 * time.Minute

// Load implements Orders.
func (c *Client) Load(ctx context.Context, order LoadRequest) error {
	return c.calls.Call(ctx, c.addr, PathLoad, order, &Empty{})
}

// Unload implements Orders.
func (c *Client) Unload(ctx context.Context, order UnloadRequest) error {
	return c.calls.Call(ctx, c.addr, PathUnload, order, &Empty{})
}

// MemoryState implements Orders.
func (c *Client) MemoryState(ctx context.Context) (MemoryState, error) {
	var held MemoryState
	err := c.calls.Call(ctx, c.addr, PathMemoryState, Empty{}, &held)
	return held, err
}

// Report returns the engine's own load report.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var report Report
	err := c.calls.Call(ctx, c.addr, PathReport, Empty{}, &report)
	return report, err
}

// Request is one call to an upstream, as the caller sent it but for its key.
type Request struct {
	// ID names the request at the upstream, for its cancellation.
	ID          string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is passed on to plain services; empty means none.
	IdempotencyKey string
	// Timeout bounds the whole call.
	Timeout time.Duration
}

// Response is an upstream's unstreamed answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do sends r and returns the whole answer. An error means that the connection
// failed; whether the upstream ran the request is then unknown.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.fill(req, r)
	if err := c.stream.Do(ctx, req, resp); err != nil {
		return Response{}, errkind.Wrap(errkind.UpstreamFailed, "the upstream's connection failed", err)
	}
	body, err := resp.BodyE()
	if err != nil {
		return Response{}, errkind.Wrap(errkind.StreamCut, "the upstream's answer ended early", err)
	}
	return Response{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        bytes.Clone(body),
	}, nil
}

// Stream sends r and calls onData for each event's data, the final marker
// excluded. The data is valid only during the call. It returns nil only after
// the marker: a stream that ends without it was cut. An *AnswerError is the
// upstream's own refusal of the request.
func (c *Client) Stream(ctx context.Context, r Request, onData func([]byte) error) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.fill(req, r)
	if err := c.stream.Do(ctx, req, resp); err != nil {
		return errkind.Wrap(errkind.UpstreamFailed, "the upstream's connection failed", err)
	}
	defer resp.CloseBodyStream()
	if resp.StatusCode() != consts.StatusOK {
		return refusalOf(resp)
	}
	err := readEvents(ctx, resp, onData)
	if err != nil {
		c.cancel(r.ID)
	}
	return err
}

// cancelTimeout bounds the message that cancels a request.
const cancelTimeout = time.Second

// CancelRequest asks the upstream to end a request.
type CancelRequest struct {
	ID string `json:"id"`
}

// cancel ends a stream that is not read any more. Closing the response reads it
// to its end, so without the message the engine would generate it in full.
func (c *Client) cancel(id string) {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	_ = c.calls.Call(ctx, c.addr, PathCancel, CancelRequest{ID: id}, &Empty{})
}

func readEvents(ctx context.Context, resp *protocol.Response, onData func([]byte) error) error {
	reader, err := sse.NewReader(resp)
	if err != nil {
		return errkind.Wrap(errkind.UpstreamFailed, "the upstream did not answer with an event stream", err)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	done := false
	var failure error
	err = peer.ForEachEvent(ctx, resp, reader, func(e *sse.Event) error {
		if done || bytes.Equal(e.Data, doneMarker) {
			done = true
			return nil
		}
		if e.Type == eventError {
			failure = errkind.New(errkind.UpstreamFailed, "the upstream's stream ended with an error event")
			return failure
		}
		return onData(e.Data)
	})
	if failure != nil {
		return failure
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
