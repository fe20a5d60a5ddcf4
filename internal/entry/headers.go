package entry

import (
	"context"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

const (
	// maxHeaderBytes bounds a caller's headers. It is below the limit of the HTTP
	// server, which would answer in plain text and close the connection.
	maxHeaderBytes = 32 << 10
	// maxBearerTokenBytes bounds a bearer token; issued keys are shorter than 100 bytes.
	maxBearerTokenBytes = 512
)

// checkHeaders rejects requests whose headers are too long or that have no Host
// header. The HTTP server answers a request without a Host header in plain text,
// but runs this middleware first and keeps the response that it wrote.
func (e *Entry) checkHeaders(ctx context.Context, c *app.RequestContext) {
	if n := len(c.Request.Header.RawHeaders()); n > maxHeaderBytes {
		e.respondError(c, newRequestInfo(c), errkind.New(errkind.HeadersTooLarge, "the headers have "+strconv.Itoa(n)+" bytes, the limit is "+strconv.Itoa(maxHeaderBytes)))
		c.Abort()
		return
	}
	if len(c.Request.Host()) == 0 {
		e.respondError(c, newRequestInfo(c), errkind.New(errkind.InvalidRequest, "the Host header is required"))
		c.Abort()
		return
	}
	c.Next(ctx)
}

// checkEncoding rejects a compressed body, because the other checks cannot read
// it.
func checkEncoding(c *app.RequestContext) error {
	encoding := c.Request.Header.Get("Content-Encoding")
	if encoding == "" || strings.EqualFold(encoding, "identity") {
		return nil
	}
	return errkind.New(errkind.InvalidRequest, "Content-Encoding "+strconv.Quote(excerpt(encoding))+" is not supported; send the body uncompressed")
}

func (e *Entry) noRoute(_ context.Context, c *app.RequestContext) {
	e.respondError(c, newRequestInfo(c), errkind.New(errkind.RouteNotFound, "no route for "+excerpt(string(c.Method()))+" "+excerpt(string(c.Path()))))
}

func (e *Entry) noMethod(_ context.Context, c *app.RequestContext) {
	e.respondError(c, newRequestInfo(c), errkind.New(errkind.MethodNotAllowed, excerpt(string(c.Path()))+" does not accept "+excerpt(string(c.Method()))))
}
