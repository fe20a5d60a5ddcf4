package peer

import (
	"context"
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// readRequest is the first handler of each request. It reads the body within the limits and the budget
// of the connection. Hertz by itself would take memory for as much as a client announces. The body is
// not reused after the request.
func readRequest(ctx context.Context, c *app.RequestContext) {
	conn, ok := c.GetConn().(*watchedConn)
	if !ok {
		c.Next(ctx)
		return
	}
	body, err := conn.readBody(c)
	if err != nil {
		conn.refuse(c, err)
		return
	}
	if body != nil {
		if c.Request.Header.ContentLength() < 0 {
			// Replaces Transfer-Encoding.
			c.Request.Header.SetContentLength(len(body))
		}
		c.Request.SetBodyRaw(body)
	}
	if !conn.requestRead() {
		c.SetConnectionClose()
		return
	}
	status := c.Response.StatusCode()
	c.Next(ctx)
	// Hertz would keep the body until the response is written.
	c.Request.ResetBody()
	if status != consts.StatusOK && status == c.Response.StatusCode() && !c.Response.HasBodyBytes() {
		// Hertz found no handler and would answer with plain text.
		setError(&c.Response, refusalOf(status).err, "")
	}
}

// readBody returns the body, or nil if the request has none.
func (c *watchedConn) readBody(rc *app.RequestContext) ([]byte, error) {
	if c.refused != nil {
		return nil, c.refused
	}
	if !rc.Request.IsBodyStream() {
		return nil, nil
	}
	stream := rc.RequestBodyStream()
	var body []byte
	var err error
	if length := rc.Request.Header.ContentLength(); length >= 0 {
		body, err = c.readSized(stream, length)
	} else {
		body, err = c.readChunked(stream)
	}
	if err != nil {
		return nil, err
	}
	return body, ext.ReleaseBodyStream(stream)
}

func (c *watchedConn) readSized(stream io.Reader, length int) ([]byte, error) {
	if err := c.holdBody(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(stream, body)
	return body, err
}

func (c *watchedConn) readChunked(stream io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) > c.limits.maxBody {
				return nil, bodyTooLong()
			}
			// One byte more than the limit shows that a body exceeds it.
			n := min(max(firstInputBytes, 2*cap(body)), c.limits.maxBody+1)
			if err := c.holdBody(cap(body) + n); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), n)
			copy(grown, body)
			body = grown
			if err := c.holdBody(n); err != nil {
				return nil, err
			}
		}
		n, err := stream.Read(body[len(body):min(cap(body), len(body)+maxPieceBytes)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if len(body) > c.limits.maxBody {
		return nil, bodyTooLong()
	}
	return body, nil
}

// refuse answers a request whose body could not be read, and ends the connection after it.
func (c *watchedConn) refuse(rc *app.RequestContext, err error) {
	r := c.refusalFor(err)
	c.countRefusal(r)
	c.phase, c.draining = phaseHandled, !c.broken
	rc.Request.ResetBody()
	rc.SetConnectionClose()
	id := ""
	if name := c.limits.requestIDHeader; name != "" {
		if id = string(rc.Request.Header.Peek(name)); id != "" {
			rc.Response.Header.Set(name, id)
		}
	}
	setError(&rc.Response, r.err, id)
	rc.Abort()
}

// refusalFor returns the refusal for an error of reading a body.
func (c *watchedConn) refusalFor(err error) *refusal {
	var r *refusal
	switch {
	case errors.As(err, &r):
		return r
	case c.refused != nil:
		return c.refused
	case errors.Is(err, clientbudget.ErrNoMemory):
		r = newRefusal(clientbudget.NoMemory, errkind.QueueFull, err.Error())
		r.err = r.err.WithRetryAfter(memoryRetryAfter)
		return r
	default:
		return newRefusal(clientbudget.Malformed, errkind.InvalidRequest, "the body did not arrive whole")
	}
}
