package work

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

// silenceTimeout ends an attempt whose connection carries nothing, pings
// included. Three pings may be lost to a pause before a live attempt is cut.
const silenceTimeout = 3*pingInterval + pingInterval/2

// Sink takes the answer of an attempt. Its data is valid only during the call.
type Sink interface {
	// Check is called at each event, pings included, and ends the attempt with
	// its error.
	Check() error
	// Data takes one chunk of a streamed answer.
	Data(data []byte) error
	// WholeResponse takes an unstreamed answer.
	WholeResponse(w WholeResponse) error
}

// Client sends orders to agents. It is safe for concurrent use.
type Client struct {
	http  *client.Client
	calls *peer.Client
}

// NewClient returns a client.
func NewClient() (*Client, error) {
	hc, err := peer.NewHTTPClient(silenceTimeout, true)
	if err != nil {
		return nil, err
	}
	calls, err := peer.NewClient(cancelTimeout)
	return &Client{http: hc, calls: calls}, err
}

// Run sends the order to the agent at addr and passes the answer to sink. It
// returns the attempt's end, or an *errkind.Error whose Ran field tells
// whether the upstream may have run the request.
func (c *Client) Run(ctx context.Context, addr string, o AttemptRequest, sink Sink) (End, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	o.fill(req, addr)
	if err := c.http.Do(ctx, req, resp); err != nil {
		protocol.ReleaseResponse(resp)
		return End{}, dispatchError(addr, err)
	}
	if resp.StatusCode() != consts.StatusOK {
		defer release(resp)
		body, _ := resp.BodyE()
		return End{}, peer.DecodeError(resp.StatusCode(), body)
	}
	if got := resp.Header.Get(headerAttempt); got != o.Attempt {
		go release(resp)
		return End{}, errkind.New(errkind.UpstreamFailed, "the answer belongs to another attempt")
	}
	bootID := resp.Header.Get(headerBoot)
	end, err := readAnswer(ctx, resp, o, sink)
	end.BootID = bootID
	if err != nil {
		go c.abandon(addr, o.Attempt, resp)
		return end, err
	}
	release(resp)
	return end, nil
}

// cancelTimeout bounds the message that cancels an attempt.
const cancelTimeout = 2 * time.Second

// abandon asks the agent to end the attempt and releases the response. Closing
// a response reads it to its end, so without the message an abandoned stream
// would run on to its last token.
func (c *Client) abandon(addr, attempt string, resp *protocol.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.calls.Call(ctx, addr, PathCancel, Cancel{Attempt: attempt}, &CancelResult{})
	release(resp)
}

func release(resp *protocol.Response) {
	_ = resp.CloseBodyStream()
	protocol.ReleaseResponse(resp)
}

// dispatchError tells a refused connection, where nothing was sent, from a
// failure after the order may have arrived.
func dispatchError(addr string, err error) error {
	e := errkind.Wrap(errkind.UpstreamUnavailable, "the agent at "+addr+" does not answer", err)
	if isDialError(err) {
		return e
	}
	return e.WithRanUnknown()
}

func readAnswer(ctx context.Context, resp *protocol.Response, o AttemptRequest, sink Sink) (End, error) {
	reader, err := sse.NewReader(resp)
	if err != nil {
		return End{}, errkind.Wrap(errkind.UpstreamFailed, "the agent did not answer with an event stream", err)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	r := &answerReader{order: o, sink: sink}
	err = peer.ForEachEvent(ctx, resp, reader, func(e *sse.Event) error {
		if checkErr := sink.Check(); checkErr != nil {
			r.failure = checkErr
			return checkErr
		}
		return r.take(e)
	})
	switch {
	case r.failure != nil:
		return End{}, r.failure
	case r.end != nil:
		return *r.end, nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return End{}, errkind.New(errkind.DeadlinePassed, "the deadline passed before the answer was complete")
	case err != nil:
		return End{}, errkind.Wrap(errkind.StreamCut, "the agent's answer ended early", err)
	default:
		return End{}, errkind.New(errkind.StreamCut, "the agent's answer ended without its last event")
	}
}
