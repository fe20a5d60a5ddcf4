package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bounds of connections.
const (
	// dialTimeout is far above a round trip of a region and well below the
	// shortest objective, so that another upstream can still be tried.
	dialTimeout = 350 * time.Millisecond
	// closeMargin is kept from the end of the upstream's idle timeout.
	closeMargin = 1500 * time.Millisecond
	// unknownKeep is how long a connection without a stated timeout is reused.
	unknownKeep = 500 * time.Millisecond
	// freshFor is how long after its last answer a connection serves requests
	// that must not be sent twice.
	freshFor = time.Second
	// maxIdlePerUpstream bounds what is kept for one upstream.
	maxIdlePerUpstream = 32
	// maxForeignAnswers is how many answers to other requests are skipped.
	maxForeignAnswers = 3
	// maxForeignBytes bounds the body of a skipped answer.
	maxForeignBytes = 1 << 20
)

// Client keeps connections to upstreams. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer
	// idOf returns the request that an answer belongs to.
	idOf func(http.Header) (id string, keep time.Duration)

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client; idOf decodes the id of an answer and how long
// the upstream keeps an idle connection.
func NewClient(idOf func(http.Header) (string, time.Duration)) *Client {
	return &Client{
		idOf: idOf,
		dialer: net.Dialer{
			Timeout: dialTimeout, Control: setUnackedTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		},
		idle: make(map[string][]*conn),
	}
}

// Do sends r to addr and returns when the head of the answer has come. The
// exchange ends with ctx. An error is a *Failure.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Failure{NotSent, err}
	}
	cn, err := c.get(ctx, addr, r.FreshConn)
	if err != nil {
		return nil, &Failure{NotSent, err}
	}
	resp, err := c.on(ctx, cn, addr, r)
	if err != nil {
		cn.abort()
		return nil, err
	}
	return resp, nil
}

func (c *Client) on(ctx context.Context, cn *conn, addr string, r *Request) (*Response, error) {
	// Closing is the only way to end a read at once, and tells the upstream to stop.
	stop := context.AfterFunc(ctx, cn.abort)
	written := make(chan error, 1)
	if err := cn.send(r, written); err != nil {
		stop()
		return nil, &Failure{NoAnswer, err}
	}
	h, err := c.readHead(cn, r)
	if err != nil {
		stop()
		return nil, err
	}
	return &Response{Status: h.StatusCode, Header: h.Header, Body: h.Body, client: c, conn: cn, addr: addr, close: h.Close, stop: stop, written: written}, nil
}

// send writes the request. A long body is written beside the reading, since an
// upstream may answer before it has read it.
func (cn *conn) send(r *Request, written chan<- error) error {
	if err := r.writeHead(cn.w); err != nil {
		return errors.Wrap(err, "write the head")
	}
	if len(r.Body) <= writeBufferBytes {
		if _, err := cn.w.Write(r.Body); err != nil {
			return errors.Wrap(err, "write the body")
		}
		written <- nil
		return errors.Wrap(cn.w.Flush(), "write the request")
	}
	go func() {
		_, err := cn.w.Write(r.Body)
		if err == nil {
			err = cn.w.Flush()
		}
		written <- err
	}()
	return nil
}

// readHead reads answers until the one to r.
func (c *Client) readHead(cn *conn, r *Request) (*http.Response, error) {
	for range maxForeignAnswers + 1 {
		if _, err := cn.r.Peek(1); err != nil {
			return nil, &Failure{NoAnswer, err}
		}
		h, err := http.ReadResponse(cn.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, &Failure{BadResponse, err}
		}
		if h.StatusCode < http.StatusOK {
			continue
		}
		id, keep := c.idOf(h.Header)
		if id == r.ID {
			cn.keepFor = keep
			return h, nil
		}
		if n, err := io.CopyN(io.Discard, h.Body, maxForeignBytes); err != io.EOF || n == maxForeignBytes || h.Close {
			return nil, &Failure{BadResponse, errors.Errorf("an answer to request %q", id)}
		}
	}
	return nil, &Failure{BadResponse, errors.New("only answers to other requests")}
}

// get returns an idle connection that is still open, or a new one.
func (c *Client) get(ctx context.Context, addr string, onlyFresh bool) (*conn, error) {
	for {
		cn := c.takeIdle(addr, onlyFresh)
		if cn == nil {
			break
		}
		if cn.alive() {
			return cn, nil
		}
		_ = cn.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return newConn(raw), nil
}

// takeIdle takes the connection that was in use last.
func (c *Client) takeIdle(addr string, onlyFresh bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	if onlyFresh && time.Since(cn.idleSince) > freshFor {
		return nil
	}
	c.idle[addr] = list[:len(list)-1]
	return cn
}

func (c *Client) putIdle(addr string, cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= maxIdlePerUpstream {
		_ = cn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], cn)
}

// CloseIdle closes the idle connections to addresses that keep refuses, and those
// that upstreams are about to close. It is called every second or so.
func (c *Client) CloseIdle(keep func(addr string) bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		wanted := keep(addr)
		rest := slices.DeleteFunc(list, func(cn *conn) bool {
			if wanted && now.Sub(cn.idleSince) < cn.reusable() {
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

// reusable is how long the connection may be used again after an answer.
func (c *conn) reusable() time.Duration {
	if c.keepFor == 0 {
		return unknownKeep
	}
	return max(unknownKeep, c.keepFor-closeMargin)
}
