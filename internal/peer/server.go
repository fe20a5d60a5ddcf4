// Package peer is the HTTP and JSON transport between the processes of the
// system: servers and clients with bounds on every read, write and body.
package peer

import (
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
)

// Server limits.
const (
	// idleTimeout closes connections without requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the request line and headers together. Work requests
	// carry a caller's path of up to 32 KiB in a header, which takes three times
	// that when each byte has to be escaped.
	maxHeaderBytes = 128 << 10
	// exitWait bounds hertz's own wait at shutdown; the roles drain before it.
	exitWait = 5 * time.Second
)

// ServerOptions are the bounds of one listener.
type ServerOptions struct {
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes int
	// WriteTimeout ends a response to a peer that stopped reading.
	WriteTimeout time.Duration
	// OmitDefaultHeaders adds no headers of its own to answers that are passed on.
	OmitDefaultHeaders bool
}

// NewServer returns a hertz server on ln. Handlers' contexts end when the
// client goes away.
func NewServer(ln net.Listener, o ServerOptions) *server.Hertz {
	h := server.New(
		server.WithListener(ln),
		server.WithTransport(netpoll.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(o.MaxBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
		server.WithWriteTimeout(o.WriteTimeout),
		server.WithExitWaitTime(exitWait),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
		server.WithHandleMethodNotAllowed(true),
		// A parsed form is written anew with its parts in random order, which
		// changes the digest of a call that is sent again.
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultContentType(o.OmitDefaultHeaders),
		server.WithDisableDefaultDate(o.OmitDefaultHeaders),
	)
	return h
}
