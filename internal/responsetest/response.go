package responsetest

import "strings"

// Body is the body of all complete responses. It is valid JSON.
const Body = `{"n":1}`

// End is what a server does after it has sent a response.
type End int

// Ends of a response.
const (
	// KeepOpen keeps the connection open for the next request.
	KeepOpen End = iota
	// Close closes the connection in the ordinary way.
	Close
	// Reset closes the connection by a TCP reset.
	Reset
	// HalfClose ends the sending direction, and reads what the client still sends.
	HalfClose
	// HalfCloseReset ends the sending direction, and resets the connection a little later.
	HalfCloseReset
)

// Response is what a server sends in answer to a request.
type Response struct {
	Name string
	// raw contains fieldsMark where the reader under test needs header fields of its own.
	raw string
	End End
}

const fieldsMark = "{fields}"

// Bytes returns the response with further header fields, each of which ends with CRLF.
func (r Response) Bytes(fields string) string { return strings.ReplaceAll(r.raw, fieldsMark, fields) }

// Refusal returns the response with status 413 instead of 200.
func (r Response) Refusal() Response {
	r.raw = strings.Replace(r.raw, "200 OK", "413 Content Too Large", 1)
	return r
}

// Names of header fields and framings that several responses share.
const (
	ok      = "HTTP/1.1 200 OK\r\n" + fieldsMark
	sized   = "Content-Length: 7\r\n\r\n" + Body
	chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	chunk   = "7\r\n" + Body + "\r\n"
)

// statusLine returns a response that is complete but for its status line.
func statusLine(line string) string { return line + "\r\n" + fieldsMark + sized }

// header returns a complete response with a further header line, or part of one.
func header(line string) string { return ok + line + "\r\n" + sized }

// framing returns a response with the given fields instead of a Content-Length.
func framing(fields, body string) string { return ok + fields + "\r\n\r\n" + body }

// trailer returns a chunked response with a trailer line.
func trailer(line string) string { return chunked + chunk + "0\r\n" + line + "\r\n\r\n" }
