// Package peer is the HTTP and JSON transport between the processes of the
// system. Reads and writes have timeouts, and servers limit the size of headers
// and request bodies.
package peer

import (
	"context"
	"fmt"
	"math"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// Limits of the server.
const (
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the request line and headers together. Work
	// requests carry a caller's path of up to 32 KiB in a header, and escaping
	// can triple its size.
	maxHeaderBytes = 128 << 10
	// shutdownTimeout limits how long hertz waits for open requests at shutdown.
	// Entry instances and agents drain their requests before that.
	shutdownTimeout = 5 * time.Second
)

// ServerOptions are the limits of one listener.
type ServerOptions struct {
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes int
	// WriteTimeout is the deadline of writing a response to a peer that has
	// stopped reading.
	WriteTimeout time.Duration
	// ReadLimit is the longest time from the first byte of a request to its last; 0 is no
	// limit.
	ReadLimit time.Duration
	// Budget bounds what this and other listeners hold together; nil stands for no such
	// bound.
	Budget *clientbudget.Budget
	// RequestIDHeader names the header with the id of a request, which refusals repeat; it may be
	// empty.
	RequestIDHeader string
	// OmitDefaultHeaders omits the Date and Content-Type headers that hertz
	// adds by default, so that proxied responses pass unchanged.
	OmitDefaultHeaders bool
}

// NewServer returns a hertz server on ln. The contexts of its handlers are
// canceled when the client disconnects. Bodies are read by readRequest and not by hertz.
func NewServer(ln net.Listener, o ServerOptions) *server.Hertz {
	if o.Budget == nil {
		o.Budget = clientbudget.New(clientbudget.Unlimited)
	}
	limits := connLimits{maxHead: maxHeaderBytes, maxBody: o.MaxBodyBytes, readLimit: o.ReadLimit, writeTimeout: o.WriteTimeout, requestIDHeader: o.RequestIDHeader}
	options := []config.Option{
		server.WithListener(listener{ln, o.Budget.NewPort()}),
		server.WithOnAccept(acceptedContext),
		server.WithTransport(func(c *config.Options) network.Transporter { return newTransport(c, limits) }),
		server.WithStreamBody(true),
		// The limit of the body is checked with the head and by readRequest.
		server.WithMaxRequestBodySize(math.MaxInt),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
		server.WithHandleMethodNotAllowed(true),
		// Hertz would re-encode a parsed form with its parts in random order. A
		// retried call would then have a different digest.
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultContentType(o.OmitDefaultHeaders),
		server.WithDisableDefaultDate(o.OmitDefaultHeaders),
	}
	h := server.New(options...)
	h.Use(readRequest, recovery.Recovery(recovery.WithRecoveryHandler(answerPanic)))
	return h
}

// answerPanic answers a request whose handler panicked.
func answerPanic(_ context.Context, c *app.RequestContext, p any, stack []byte) {
	background.CountPanic("request")
	zap.L().Error("request handler panicked", zap.ByteString("path", c.Path()), zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", stack))
	WriteError(c, errkind.New(errkind.Internal, "the handler failed").WithRanUnknown(), "")
}
