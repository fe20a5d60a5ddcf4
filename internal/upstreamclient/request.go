package upstreamclient

import (
	"bufio"
	"net/http"
	"strconv"
)

// Request is a request as the upstream receives it. The client adds only the Host
// and Content-Length headers.
type Request struct {
	Method string
	// URI is the path and query, unchanged from the caller's request.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request id that the response must carry.
	ID string
	// FreshConn asks for a connection that the upstream is certainly not about to
	// close: a new one, or one that has been idle for at most freshMaxIdle.
	FreshConn bool
	// NewConn asks for a new connection. A request that this upstream has had before needs one:
	// a late second copy of the earlier response would carry the expected id.
	NewConn bool
}

// writeHeader writes the request line and the header. The body always gets a
// Content-Length, whatever framing the caller used, so that the upstream cannot
// take a part of it for another request.
func (r *Request) writeHeader(w *bufio.Writer) error {
	for _, s := range []string{r.Method, " ", r.URI, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		if _, err := w.WriteString(s); err != nil {
			return err
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		if _, err := w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}
