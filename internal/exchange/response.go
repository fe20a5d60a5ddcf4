package exchange

import (
	"io"
	"net/http"
)

// Response is an answer whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only when the answer is complete.
	Body io.ReadCloser

	client  *Client
	conn    *conn
	addr    string
	close   bool
	stop    func() bool
	written chan error
}

// Close ends the exchange. With complete set the body has been read to its end
// and the connection is kept, unless the upstream wants it closed, the request
// was not written whole, or surplus bytes came.
func (r *Response) Close(complete bool) {
	running := r.stop()
	reuse := complete && running && !r.close && r.wroteAll()
	if reuse && r.conn.r.Buffered() == 0 {
		r.client.putIdle(r.addr, r.conn)
		return
	}
	if complete {
		_ = r.conn.Close()
		return
	}
	r.conn.abort()
}

// wroteAll reports whether the whole request was written. The rest of a body
// that is still being written would reach the upstream as a new request.
func (r *Response) wroteAll() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}
