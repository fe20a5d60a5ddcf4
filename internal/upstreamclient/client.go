package upstreamclient

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/strictconn"
)

// Limits of connections.
const (
	// dialTimeout is far above a round trip within a region, and well below the
	// shortest latency objective, so that there is time to try another upstream.
	dialTimeout = 350 * time.Millisecond
	// idleTimeoutMargin is how long before the upstream's idle timeout CloseIdle
	// closes a connection.
	idleTimeoutMargin = 1500 * time.Millisecond
	// defaultMaxIdle is how long an idle connection is used if the upstream
	// states no idle timeout, and the shortest time for all other connections.
	defaultMaxIdle = 500 * time.Millisecond
	// freshMaxIdle is how long after its last response a connection may be used for
	// requests with FreshConn, those that must not be sent twice.
	freshMaxIdle = time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream, if it has no lower
	// limit.
	maxIdlePerUpstream = 32
	// maxStrayResponses is how many responses to other requests are skipped before
	// the exchange fails.
	maxStrayResponses = 3
	// maxDiscardedBytes and discardTimeout bound the rest of a response that nobody
	// needs. Reading it saves a new connection, which is worth less than either.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 100 * time.Millisecond
)

// Client sends requests to upstreams and keeps idle connections for reuse. It is
// safe for concurrent use.
type Client struct {
	dialer net.Dialer
	// parseHeader returns the id of the request that a response answers, and the
	// upstream's idle timeout.
	parseHeader func(http.Header) (id string, idleTimeout time.Duration)

	// idleLimit returns how many idle connections an upstream bears from this instance.
	idleLimit func(addr string) int

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client. parseHeader returns the request id in a response
// header, and the upstream's idle timeout, 0 if unknown.
func NewClient(parseHeader func(http.Header) (string, time.Duration)) *Client {
	return &Client{
		parseHeader: parseHeader,
		dialer: net.Dialer{
			Timeout: dialTimeout, Control: setUnackedTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		},
		idleLimit: func(string) int { return maxIdlePerUpstream },
		idle:      make(map[string][]*conn),
	}
}

// SetIdleLimit sets how many idle connections an upstream bears from this instance. It must
// be called before the first request.
func (c *Client) SetIdleLimit(limit func(addr string) int) { c.idleLimit = limit }

// Do sends r to addr and returns once it has read the response header. When ctx
// ends, the exchange is aborted, also while the caller reads the body. A non-nil
// error is a *Failure.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Failure{NotSent, err}
	}
	cn, err := c.get(ctx, addr, r)
	if err != nil {
		return nil, &Failure{NotSent, err}
	}
	cn.lastID = r.ID
	resp, err := c.roundTrip(ctx, cn, addr, r)
	if err != nil {
		cn.Abort()
		return nil, err
	}
	return resp, nil
}

func (c *Client) roundTrip(ctx context.Context, cn *conn, addr string, r *Request) (*Response, error) {
	// Closing the connection is the only way to end a blocked read at once. It also
	// tells the upstream to stop.
	stopAbort := context.AfterFunc(ctx, cn.Abort)
	written := make(chan error, 1)
	if err := cn.send(r, written); err != nil {
		stopAbort()
		return nil, &Failure{NoResponse, err}
	}
	resp, err := c.readResponse(cn, r)
	if err != nil {
		stopAbort()
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody, Length: resp.ContentLength, client: c, conn: cn, addr: addr, mustClose: resp.Close, stopAbort: stopAbort, written: written}, nil
}

// send writes the request. A goroutine writes a long body while the client reads,
// because an upstream may respond before it has read the whole body.
func (cn *conn) send(r *Request, written chan<- error) error {
	if err := r.writeHeader(cn.w); err != nil {
		return errors.Wrap(err, "write request header")
	}
	if len(r.Body) <= writeBufferBytes {
		if _, err := cn.w.Write(r.Body); err != nil {
			return errors.Wrap(err, "write request body")
		}
		written <- nil
		return errors.Wrap(cn.w.Flush(), "write request")
	}
	background.Go(zap.L(), "write request body", func() {
		_, err := cn.w.Write(r.Body)
		if err == nil {
			err = cn.w.Flush()
		}
		written <- err
	})
	return nil
}

// readResponse reads the header of the response to r and leaves the body unread. It
// skips up to maxStrayResponses responses to other requests.
func (c *Client) readResponse(cn *conn, r *Request) (*http.Response, error) {
	for range maxStrayResponses + 1 {
		if _, err := cn.r.Peek(1); err != nil {
			stage := NoResponse
			if strictconn.IsInvalid(err) {
				stage = BadResponse
			}
			return nil, &Failure{stage, err}
		}
		resp, err := cn.readHead(r.Method)
		if err != nil {
			return nil, &Failure{BadResponse, err}
		}
		id, idleTimeout := c.parseHeader(resp.Header)
		if id == r.ID {
			cn.idleTimeout = idleTimeout
			return resp, nil
		}
		if complete, _ := cn.discard(resp.Body); !complete || resp.Close {
			return nil, &Failure{BadResponse, errors.Errorf("response to another request %q", id)}
		}
	}
	return nil, &Failure{BadResponse, errors.New("too many responses to other requests")}
}

// get returns an idle connection that is still open, or a new one.
func (c *Client) get(ctx context.Context, addr string, r *Request) (*conn, error) {
	for !r.NewConn {
		cn := c.takeIdle(addr, r)
		if cn == nil {
			break
		}
		if cn.alive() {
			return cn, nil
		}
		_ = cn.Close()
	}
	raw, err := strictconn.Dial(ctx, &c.dialer, addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return newConn(raw), nil
}

// takeIdle removes and returns the most recently used idle connection that may carry
// r, or returns nil.
func (c *Client) takeIdle(addr string, r *Request) *conn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for i, cn := range slices.Backward(list) {
		if cn.mayCarry(r, now) {
			c.idle[addr] = slices.Delete(list, i, i+1)
			return cn
		}
	}
	return nil
}

func (c *Client) putIdle(addr string, cn *conn) {
	cn.idleSince = time.Now()
	limit := min(maxIdlePerUpstream, c.idleLimit(addr))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= limit {
		_ = cn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], cn)
}

// CloseIdle closes the idle connections to addresses for which keep returns false,
// and those that the upstream may be about to close. The owner of the client calls
// it about once a second.
func (c *Client) CloseIdle(keep func(addr string) bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		keepAddr := keep(addr)
		rest := slices.DeleteFunc(list, func(cn *conn) bool {
			if keepAddr && now.Sub(cn.idleSince) < cn.maxIdle() {
				return false
			}
			_ = cn.Close()
			return true
		})
		if len(rest) == 0 {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = rest
	}
}
