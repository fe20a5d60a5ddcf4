package upstreamclient

import (
	"io"
	"net/http"
)

// Response is a response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the response is complete.
	Body io.ReadCloser
	// Framed tells that the response states its length, comes in chunks or has no body by its
	// status or method. Otherwise it ends with its connection.
	Framed bool

	// Length is the stated length of the body in bytes, -1 if the response states none.
	Length int64

	client    *Client
	conn      *conn
	addr      string
	mustClose bool
	stopAbort func() bool
	written   chan error
}

// Close ends the exchange. The caller sets complete if it has read the body to its
// end; Close then keeps the connection for reuse, unless the upstream asked to
// close it, the request was not written completely, or bytes follow the response.
func (r *Response) Close(complete bool) {
	running := r.stopAbort()
	reuse := complete && running && !r.mustClose && r.requestWritten()
	if reuse && !r.conn.hasUnread() {
		r.client.putIdle(r.addr, r.conn)
		return
	}
	if complete {
		_ = r.conn.Close()
		return
	}
	r.conn.Abort()
}

// Discard ends an exchange whose body nobody needs. It keeps the connection if the
// rest of the body is short and arrives at once. An error means that what has arrived of the
// body is not valid or ends too early; then the response is none.
func (r *Response) Discard() error {
	complete, err := r.conn.discard(r.Body)
	r.Close(complete)
	return err
}

// requestWritten reports whether the whole request was written. If the connection
// were reused before that, the upstream would take the rest of the body for a new
// request.
func (r *Response) requestWritten() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}
