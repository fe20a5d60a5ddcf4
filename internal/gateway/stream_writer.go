package gateway

import (
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// streamWriter writes a streamed response to the caller.
type streamWriter struct {
	c       *app.RequestContext
	started bool
}

// start sets status and header; they are sent with the first bytes of the body.
func (s *streamWriter) start(status int, h http.Header) {
	if s.started {
		return
	}
	s.started = true
	setHeader(s.c, status, h)
	s.c.Response.HijackWriter(resp.NewChunkedBodyWriter(&s.c.Response, s.c.GetWriter()))
}

// write sends p at once.
func (s *streamWriter) write(p []byte) error {
	if _, err := s.c.Write(p); err != nil {
		return err
	}
	return s.c.Flush()
}

// abort closes the connection, so that the response does not look complete.
func (s *streamWriter) abort() error { return s.c.GetConn().Close() }

// setHeader sets the status and header of the response to the caller.
func setHeader(c *app.RequestContext, status int, h http.Header) {
	c.Response.SetStatusCode(status)
	for name, values := range h {
		for i, v := range values {
			if i == 0 {
				c.Response.Header.Set(name, v)
			} else {
				c.Response.Header.Add(name, v)
			}
		}
	}
}
