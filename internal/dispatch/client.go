package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// idleTimeout is how long the client waits for the next event, pings included,
// before it ends an attempt. It is longer than three ping intervals, so that a
// short pause of the agent does not end the attempt.
const idleTimeout = 3*pingInterval + pingInterval/2

// Sink receives the response of an attempt. The data passed to it is valid only
// during the call.
type Sink interface {
	// Check is called at each event, pings included. An error ends the attempt.
	Check() error
	// Data receives one chunk of a streamed response.
	Data(data []byte) error
	// WholeResponse receives a response that is not streamed.
	WholeResponse(whole WholeResponse) error
}

// Client sends attempt requests to agents. It is safe for concurrent use.
type Client struct {
	http      *client.Client
	canceller *peer.Client
}

// NewClient returns a client.
func NewClient() (*Client, error) {
	hc, err := peer.NewHTTPClient(idleTimeout, true)
	if err != nil {
		return nil, err
	}
	canceller, err := peer.NewClient(cancelTimeout)
	return &Client{http: hc, canceller: canceller}, err
}

// Run sends the request to the agent at addr and passes the response to sink. It
// returns the end event, or an *errkind.Error whose Ran field says whether the
// upstream may have run the request.
func (c *Client) Run(ctx context.Context, addr string, r AttemptRequest, sink Sink) (End, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	r.encode(req, addr)
	if err := c.http.Do(ctx, req, resp); err != nil {
		protocol.ReleaseResponse(resp)
		return End{}, dispatchError(addr, err)
	}
	if resp.StatusCode() != consts.StatusOK {
		defer release(resp)
		body, _ := resp.BodyE()
		return End{}, peer.DecodeError(resp.StatusCode(), body)
	}
	if got := resp.Header.Get(headerAttempt); got != r.Attempt {
		go release(resp)
		return End{}, errkind.New(errkind.UpstreamFailed, "the response belongs to another attempt")
	}
	bootID := resp.Header.Get(headerBoot)
	end, err := readResponse(ctx, resp, r, sink)
	end.BootID = bootID
	if err != nil {
		go c.cancelAttempt(addr, r.Attempt, resp)
		return end, err
	}
	release(resp)
	return end, nil
}

// cancelTimeout bounds the call that cancels an attempt.
const cancelTimeout = 2 * time.Second

// cancelAttempt asks the agent to end the attempt and releases the response. Closing a
// response reads it to its end, so without the cancellation a stream that nobody
// needs would run until its last token.
func (c *Client) cancelAttempt(addr, attempt string, resp *protocol.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.canceller.Call(ctx, addr, PathCancel, Cancel{Attempt: attempt}, &CancelResult{})
	release(resp)
}

func release(resp *protocol.Response) {
	_ = resp.CloseBodyStream()
	protocol.ReleaseResponse(resp)
}

// dispatchError returns the error for a request that got no response. It says that
// the request was not run only if no connection could be opened, because then
// nothing was sent.
func dispatchError(addr string, err error) error {
	e := errkind.Wrap(errkind.UpstreamUnavailable, "the agent at "+addr+" did not respond", err)
	if isDialError(err) {
		return e
	}
	return e.WithRanUnknown()
}

func readResponse(ctx context.Context, resp *protocol.Response, request AttemptRequest, sink Sink) (End, error) {
	events, err := sse.NewReader(resp)
	if err != nil {
		return End{}, errkind.Wrap(errkind.UpstreamFailed, "the agent did not respond with an event stream", err)
	}
	events.SetMaxBufferSize(maxEventBytes)
	r := &responseReader{request: request, sink: sink}
	err = peer.ForEachEvent(ctx, resp, events, func(e *sse.Event) error {
		if checkErr := sink.Check(); checkErr != nil {
			r.failure = checkErr
			return checkErr
		}
		return r.handle(e)
	})
	switch {
	case r.failure != nil:
		return End{}, r.failure
	case r.end != nil:
		return *r.end, nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return End{}, errkind.New(errkind.DeadlinePassed, "the deadline passed before the response was complete")
	case err != nil:
		return End{}, errkind.Wrap(errkind.StreamCut, "the agent's response ended early", err)
	default:
		return End{}, errkind.New(errkind.StreamCut, "the agent's response ended without an end event")
	}
}
