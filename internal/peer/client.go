package peer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// Limits of the client.
const (
	dialTimeout     = time.Second
	writeTimeout    = 2 * time.Second
	maxConnsPerHost = 1024
	idleConnTimeout = 30 * time.Second
	// maxResponseBytes limits a buffered response, header included. The longest are
	// pages of the platform's store, with at most 1 MB of records.
	maxResponseBytes = 8 << 20
	// defaultCallTimeout is the deadline of a call whose context has none.
	defaultCallTimeout = 2 * time.Second
)

// Client makes JSON calls to other processes. It is safe for concurrent use.
type Client struct {
	http *client.Client
}

// NewClient returns a client. A read ends after readTimeout without data, so
// that a dead connection cannot block a call forever.
func NewClient(readTimeout time.Duration) (*Client, error) {
	hc, err := NewHTTPClient(readTimeout, false)
	return &Client{http: hc}, err
}

// NewHTTPClient returns a hertz client with timeouts and connection limits. If
// stream is set, response bodies are streamed instead of buffered and not limited.
func NewHTTPClient(readTimeout time.Duration, stream bool) (*client.Client, error) {
	if stream {
		return newHTTPClient(responseDialer{perRead: true}, readTimeout, stream)
	}
	return newHTTPClient(boundedDialer{}, readTimeout, stream)
}

// NewStrictHTTPClient returns a client like NewHTTPClient without streams that does not send a
// request on a connection on which bytes have arrived that belong to no response, such as a
// second copy of the last one. The call fails with ErrConnUnusable instead.
func NewStrictHTTPClient(readTimeout time.Duration) (*client.Client, error) {
	return newHTTPClient(boundedDialer{strict: true}, readTimeout, false)
}

func newHTTPClient(dialer network.Dialer, readTimeout time.Duration, stream bool) (*client.Client, error) {
	var mu sync.Mutex
	hc, err := client.NewClient(
		client.WithDialer(dialer),
		client.WithHostClientConfigHook(func(hc any) error {
			// Concurrent first calls to a host run the hook on the same client, while it may
			// serve one of them already.
			mu.Lock()
			defer mu.Unlock()
			return limitBody(hc, stream)
		}),
		client.WithDialTimeout(dialTimeout),
		client.WithClientReadTimeout(readTimeout),
		client.WithWriteTimeout(writeTimeout),
		client.WithMaxConnsPerHost(maxConnsPerHost),
		client.WithMaxIdleConnDuration(idleConnTimeout),
		client.WithResponseBodyStream(stream),
	)
	return hc, errors.Wrap(err, "create HTTP client")
}

// limitBody limits the bodies of the responses that a host's client buffers.
func limitBody(hostClient any, stream bool) error {
	hc, ok := hostClient.(*http1.HostClient)
	if !ok {
		return errors.Errorf("unexpected type %T of an HTTP client", hostClient)
	}
	if !stream && hc.MaxResponseBodySize != maxResponseBytes {
		hc.MaxResponseBodySize = maxResponseBytes
	}
	return nil
}

// Call posts req to path at addr (IP:port) and decodes the response into resp.
// If the peer responds with an error, Call returns it as *errkind.Error. A
// transport failure has kind upstream_unavailable and leaves open whether the
// peer executed the call.
func (c *Client) Call(ctx context.Context, addr, path string, req, resp any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrapf(err, "encode request to %s", path)
	}
	hreq, hresp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(hreq)
	defer protocol.ReleaseResponse(hresp)
	hreq.SetMethod(consts.MethodPost)
	hreq.SetRequestURI("http://" + addr + path)
	hreq.Header.SetContentTypeBytes([]byte("application/json"))
	hreq.SetBody(body)
	hreq.SetOptions(config.WithRequestTimeout(remainingTime(ctx)))
	if err := c.http.Do(ctx, hreq, hresp); err != nil {
		return errkind.Wrap(errkind.UpstreamUnavailable, "call to "+addr+path+" failed", err).WithRanUnknown()
	}
	countCall("out", path, len(body), len(hresp.Body()))
	if hresp.StatusCode() != consts.StatusOK {
		return DecodeError(hresp.StatusCode(), hresp.Body())
	}
	return errors.Wrapf(json.Unmarshal(hresp.Body(), resp), "decode response of %s", path)
}

// DecodeError returns the error that a non-200 response carries.
func DecodeError(status int, body []byte) error {
	var b errkind.Body
	if err := json.Unmarshal(body, &b); err != nil || !errkind.IsListed(b.Error.Kind) {
		return errkind.New(errkind.UpstreamFailed, errors.Errorf("response with status %d has no valid error body", status).Error())
	}
	return b.AsError()
}

func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultCallTimeout
	}
	return max(time.Millisecond, time.Until(deadline))
}
