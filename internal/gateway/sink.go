package gateway

import (
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// sink writes a streamed answer to the caller.
type sink struct {
	c     *app.RequestContext
	begun bool
}

// begin sets status and header; they leave with the first bytes.
func (s *sink) begin(status int, h http.Header) {
	if s.begun {
		return
	}
	s.begun = true
	setHeader(s.c, status, h)
	s.c.Response.HijackWriter(resp.NewChunkedBodyWriter(&s.c.Response, s.c.GetWriter()))
}

// write sends p at once.
func (s *sink) write(p []byte) error {
	if _, err := s.c.Write(p); err != nil {
		return err
	}
	return s.c.Flush()
}

// abort closes the connection, so that the answer does not look complete.
func (s *sink) abort() error { return s.c.GetConn().Close() }

// setHeader copies status and header of an upstream's answer.
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
