package exchange

import (
	"bufio"
	"net/http"
	"strconv"
)

// Request is what an upstream receives, byte for byte.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the id that the answer must bear.
	ID string
	// FreshConn asks for a connection that cannot be closing: it is new or was
	// in use a moment ago.
	FreshConn bool
}

// writeHead writes the request line and the header. The body always has a
// length, whatever framing the caller used, so that no part of it can be read
// as another request.
func (r *Request) writeHead(w *bufio.Writer) error {
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
