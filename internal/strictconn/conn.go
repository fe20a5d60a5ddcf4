package strictconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// bufferBytes is the capacity of a connection's buffer. Few heads are longer.
const bufferBytes = 4 << 10

var bufferPool = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Conn is a connection that carries one request at a time and whose reads deliver only valid
// responses. One goroutine may read while another writes.
type Conn struct {
	net.Conn
	addr     string
	delimit  bool
	requests requests

	// buf[start:end] are bytes that were received and not delivered. A connection without such bytes
	// has no buffer.
	buf        []byte
	start, end int
	// checked is the end of the part of the current head that was checked.
	checked int
	// headBytes is the length of the current head and the interim responses before it.
	headBytes int
	head      head
	// body is the body of the current response, if inBody is set.
	body   body
	inBody bool
	// trailer is the part of the current trailer that was received.
	trailer []byte
	// ready are valid bytes that are to be delivered next.
	ready []byte
	// err ends all further reads.
	err error
}

// Dial connects to addr, IP:port, over TCP.
func Dial(ctx context.Context, d *net.Dialer, addr string) (*Conn, error) {
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(c, addr), nil
}

// New returns a connection that checks what is read from c, a new connection to addr.
func New(c net.Conn, addr string) *Conn {
	s := &Conn{Conn: c, addr: addr}
	s.head.reset()
	return s
}

// DelimitBodies makes the connection deliver bodies without a length in chunks, for parsers that take
// any error for the end of such a body. It must be called before the first read.
func (c *Conn) DelimitBodies() { c.delimit = true }

// Read implements net.Conn. An error other than the end of a deadline is returned by all further reads.
func (c *Conn) Read(p []byte) (int, error) {
	for len(p) > 0 {
		if len(c.ready) > 0 {
			n := copy(p, c.ready)
			c.ready = c.ready[n:]
			c.releaseBuffer()
			return n, nil
		}
		if c.err != nil {
			return 0, c.err
		}
		if !c.inBody {
			if err := c.readHead(); err != nil {
				return 0, err
			}
			continue
		}
		if n, err := c.readBody(p); n > 0 || err != nil {
			return n, err
		}
	}
	return 0, nil
}

// readHead checks what has been received of a head, or receives more of it.
func (c *Conn) readHead() error {
	for c.checked < c.end {
		if c.headBytes++; c.headBytes > maxHeadBytes {
			return c.fail(&InvalidError{Header, ErrTooLong})
		}
		b := c.buf[c.checked]
		done, err := c.head.add(b)
		if err != nil {
			return c.fail(err)
		}
		if b == '\t' && c.head.fields.framing.current != otherField {
			// Hertz takes no tabs around a length or coding.
			c.buf[c.checked] = ' '
		}
		c.checked++
		if done {
			c.endHead()
			return nil
		}
	}
	c.makeRoom()
	n, err := c.Conn.Read(c.buf[c.end:])
	c.end += n
	if n > 0 || err == nil {
		return nil
	}
	return c.readFailed(err)
}

// endHead handles a complete head.
func (c *Conn) endHead() {
	status := c.head.line.status
	received := c.buf[c.start:c.checked]
	c.start = c.checked
	if isInterim(status) {
		c.head.reset()
		return
	}
	c.body, c.inBody = c.head.body(c.requests.toHead.Load()), true
	c.ready = received
	switch {
	case c.body.kind == untilEnd && c.delimit:
		c.ready = delimitedHead(received)
	case c.body.kind == sized && c.body.left == 0:
		c.endResponse()
	}
}

// readBody checks what has been received of a body, or receives more of it, and delivers it.
func (c *Conn) readBody(p []byte) (int, error) {
	received, buffered := 0, c.start < c.end
	if buffered {
		received = copy(p, c.buf[c.start:c.end])
	} else {
		var err error
		if received, err = c.Conn.Read(p); received == 0 && err != nil {
			return 0, c.readFailed(err)
		}
	}
	n, trailer, done, err := c.body.next(p[:received])
	switch {
	case buffered:
		c.start += n
		c.checked = c.start
	case n < received:
		c.keep(p[n:received])
	}
	if err != nil {
		err = c.fail(err)
	}
	if trailer > 0 {
		n -= trailer
		c.trailer = append(c.trailer, p[n:n+trailer]...)
	}
	if done {
		c.endResponse()
	}
	c.releaseBuffer()
	if c.body.kind == untilEnd && c.delimit && n > 0 {
		c.ready = chunkOf(p[:n])
		return 0, nil
	}
	if n > 0 {
		err = nil // returned by the next read
	}
	return n, err
}

func (c *Conn) endResponse() {
	if c.body.kind == inChunks {
		c.ready, c.trailer = c.trailer, c.trailer[:0]
	}
	c.inBody, c.headBytes = false, 0
	c.head.reset()
	c.requests.answered()
}

// readFailed handles an error of the connection. The end of a deadline leaves the connection as it is.
func (c *Conn) readFailed(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case !c.inBody && c.headBytes == 0 || errors.Is(err, net.ErrClosed):
		c.err = err
		return err
	case !errors.Is(err, io.EOF):
		return c.fail(&InvalidError{End, err})
	case !c.inBody || c.body.kind != untilEnd:
		return c.fail(&InvalidError{End, io.ErrUnexpectedEOF})
	}
	if err := c.writeFailure(); err != nil {
		return c.fail(&InvalidError{End, errors.Wrap(err, "the connection failed while the request was sent")})
	}
	c.err = io.EOF
	if c.delimit {
		c.ready = []byte("0\r\n\r\n")
		return nil
	}
	return io.EOF
}

// fail ends all further reads with err and reports an invalid response.
func (c *Conn) fail(err error) error {
	c.err = err
	var e *InvalidError
	if errors.As(err, &e) {
		report(c.addr, e)
	}
	return err
}

// makeRoom makes room in the buffer for more of a head.
func (c *Conn) makeRoom() {
	switch {
	case c.buf == nil:
		c.buf = bufferPool.Get().(*[bufferBytes]byte)[:]
		c.start, c.end, c.checked = 0, 0, 0
	case c.start > 0:
		c.end, c.checked = copy(c.buf, c.buf[c.start:c.end]), c.checked-c.start
		c.start = 0
	case c.end == len(c.buf):
		c.buf = append(c.buf, make([]byte, len(c.buf))...)
	}
}

// keep keeps bytes that were received behind the end of a response.
func (c *Conn) keep(p []byte) {
	c.makeRoom()
	c.buf = append(c.buf[:0], p...)
	c.start, c.checked, c.end = 0, 0, len(p)
	c.buf = c.buf[:cap(c.buf)]
}

// releaseBuffer returns an empty buffer.
func (c *Conn) releaseBuffer() {
	if c.buf == nil || c.start < c.end || len(c.ready) > 0 {
		return
	}
	if len(c.buf) == bufferBytes {
		bufferPool.Put((*[bufferBytes]byte)(c.buf))
	}
	c.buf, c.start, c.end, c.checked = nil, 0, 0, 0
}

// delimitedHead returns the head of a response without a length as that of one in chunks, whose
// connection ends after it.
func delimitedHead(head []byte) []byte {
	fields := bytes.TrimSuffix(head[:len(head)-1], []byte("\r")) // without the empty line
	delimited := append(bytes.Clone(fields), "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"...)
	// HTTP/1.0 has no chunks.
	delimited[len("HTTP/1.")] = '1'
	return delimited
}

// chunkOf returns a chunk with the data.
func chunkOf(data []byte) []byte {
	chunk := strconv.AppendInt(nil, int64(len(data)), 16)
	chunk = append(append(chunk, "\r\n"...), data...)
	return append(chunk, "\r\n"...)
}
