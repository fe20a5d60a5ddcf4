package peer

import (
	"bytes"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// watchedConn bounds what a client's connection takes: the time of each write and of a request, and the
// bytes that are held for it. Hertz reads heads and the first part of bodies through it. While a request
// is handled it reads ahead, to notice that the other side has disconnected. Hertz's own connection does
// too, but goes on reading into a buffer that it has released if a response fails, and the buffer may
// then hold another connection's bytes.
type watchedConn struct {
	network.Conn
	// raw is the connection beneath hertz's; nil if it is not known.
	raw    net.Conn
	limits connLimits
	// held is the part of the budget that this connection has; nil if there is none.
	held *clientbudget.Conn
	// disconnected is called when the read fails.
	disconnected func()
	// ended is closed when the read has ended; nil if there is none.
	ended chan struct{}

	in    inputBuffer
	phase requestPhase
	// peeks counts how often hertz has looked at bytes since it last took any.
	peeks int
	// headChecked is set once the head of the current request was checked.
	headChecked bool
	// lineBytes and linesBytes count the bytes of the current chunk line and of all of this request.
	lineBytes, linesBytes int
	// bodyHeld and inputHeld are the parts of the budget for the body and for the input buffer.
	bodyHeld, inputHeld int
	// refused is why the request is refused. Reads fail with it.
	refused *refusal
	// broken is set once a read has failed: the client has gone, or the connection was ended.
	broken bool
	// answered is set once an error response of hertz was replaced.
	answered bool
	// draining makes Close read what the client still sends.
	draining bool
	// timer closes the connection if a request that began at began takes too long to arrive.
	timer *time.Timer
	began time.Time
}

// memoryRetryAfter is the suggested wait after a request found no memory. Stalled connections are ended
// sooner.
const memoryRetryAfter = time.Second

// DetectConnectionClose starts to read. Hertz calls it before the handler of a request without a body,
// and requestRead for others.
func (c *watchedConn) DetectConnectionClose() {
	if c.phase != phaseHandled {
		return // the first handler still reads
	}
	_ = c.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	c.ended = ended
	background.Go(zap.L(), "sense disconnection", func() {
		defer close(ended)
		// Bytes of the next request stay in the buffer.
		_, err := c.Peek(1)
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			c.disconnected()
		}
	})
}

// AbortBlockingRead ends the read. Hertz calls it before it sends a response.
func (c *watchedConn) AbortBlockingRead() {
	if c.ended == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.ended
	c.ended = nil
}

// beginRequest starts the limits of a request whose first bytes have arrived.
func (c *watchedConn) beginRequest() bool {
	c.phase, c.headChecked, c.linesBytes, c.lineBytes = phaseHead, false, 0, 0
	if c.limits.readLimit > 0 {
		c.began = time.Now()
		c.setTimer(min(headLimit, c.limits.readLimit))
	}
	return c.held == nil || c.held.Begin(c.in.size())
}

// setTimer makes the connection close after d.
func (c *watchedConn) setTimer(d time.Duration) {
	if c.timer == nil {
		c.timer = time.AfterFunc(d, func() {
			countRefused(clientbudget.Timeout, c.RemoteAddr().String())
			_ = c.Conn.Close()
		})
		return
	}
	c.timer.Reset(d)
}

// checkReceivedHead checks the head if it has arrived whole. It does so before hertz parses it, since
// hertz joins continued lines in place, so that it then takes the wrong length of the head.
func (c *watchedConn) checkReceivedHead() {
	head := headOf(c.in.unread())
	if head == nil {
		return
	}
	c.headChecked = true
	c.refused = checkHead(head, c.limits.maxBody)
	if len(head) > firstInputBytes && c.refused == nil {
		if err := c.hold(c.bodyHeld, c.inputHeld+headCopies*len(head)); err != nil {
			c.refused = c.refusalFor(err)
		}
	}
}

// headParsed tells that hertz has parsed the head.
func (c *watchedConn) headParsed() {
	c.phase = phaseBody
	if c.limits.readLimit > headLimit {
		c.setTimer(c.limits.readLimit - time.Since(c.began))
	}
}

// requestRead tells that the whole request was read. It returns false if the connection was ended.
func (c *watchedConn) requestRead() bool {
	c.phase = phaseHandled
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.held != nil && !c.held.Handle() {
		return false
	}
	c.DetectConnectionClose()
	return true
}

// Release implements network.Reader. Hertz calls it after the response, and after each read of a body.
func (c *watchedConn) Release() error {
	c.AbortBlockingRead()
	if c.phase == phaseHandled {
		c.phase, c.bodyHeld, c.inputHeld = phaseAwaiting, 0, 0
		if c.held != nil {
			c.held.Finish()
		}
	}
	if c.in.size() > 0 {
		return nil
	}
	c.in.start, c.in.end = 0, 0
	if c.phase == phaseAwaiting {
		c.in.recycle()
	}
	return nil
}

// Flush implements network.Writer.
func (c *watchedConn) Flush() error {
	_ = c.SetWriteTimeout(c.limits.writeTimeout)
	if c.held != nil {
		defer c.held.EndWrite(c.held.BeginWrite())
	}
	return c.Conn.Flush()
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	_ = c.SetWriteTimeout(c.limits.writeTimeout)
	if c.held != nil {
		defer c.held.EndWrite(c.held.BeginWrite())
	}
	return c.Conn.Write(p)
}

var (
	continueStatus = []byte("HTTP/1.1 100")
	statusPrefix   = []byte("HTTP/1.1 ")
)

// WriteBinary implements network.Writer. Before the handler has the request, hertz writes only error
// responses of its own and the interim response 100. The error responses are replaced by refusals.
func (c *watchedConn) WriteBinary(p []byte) (int, error) {
	if c.phase == phaseHandled || c.refused == nil && bytes.HasPrefix(p, continueStatus) {
		return c.Conn.WriteBinary(p)
	}
	if c.answered {
		return len(p), nil // the body of the error response
	}
	c.answered = true
	if c.refused == nil {
		c.refused = refusalOf(statusOf(p))
	}
	c.draining = !c.broken
	c.countRefusal(c.refused)
	if err := c.refused.write(c.Conn); err != nil {
		return 0, err
	}
	if bytes.HasPrefix(p, continueStatus) {
		return 0, c.refused
	}
	return len(p), nil
}

// countRefusal counts a refusal, unless there is nobody any more to refuse.
func (c *watchedConn) countRefusal(r *refusal) {
	if !c.broken {
		countRefused(r.reason, c.RemoteAddr().String())
	}
}

// statusOf returns the status of a response that begins with p.
func statusOf(p []byte) int {
	const digits = 3
	p = bytes.TrimPrefix(p, statusPrefix)
	status := 0
	for _, d := range p[:min(digits, len(p))] {
		status = status*10 + int(d-'0')
	}
	return status
}

// holdBody takes n bytes of the budget for the body.
func (c *watchedConn) holdBody(n int) error { return c.hold(n, c.inputHeld) }

func (c *watchedConn) hold(body, input int) error {
	if c.held != nil {
		if err := c.held.Hold(int64(body + input)); err != nil {
			return err
		}
	}
	c.bodyHeld, c.inputHeld = body, input
	return nil
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	if c.draining {
		c.draining = false
		c.drain()
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	return c.Conn.Close()
}

// drain reads what the client still sends, so that it gets the response before the connection ends.
func (c *watchedConn) drain() {
	tcp, ok := c.raw.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	if c.held != nil {
		c.held.Finish()
	}
	c.in.recycle()
	_ = tcp.CloseWrite()
	_ = c.raw.SetReadDeadline(time.Now().Add(drainTime))
	buffer := inputPool.Get().(*[firstInputBytes]byte)
	defer inputPool.Put(buffer)
	for total := 0; total < drainBytes; {
		n, err := c.raw.Read(buffer[:])
		if err != nil {
			return
		}
		total += n
	}
}

// Kinds of refusals of reads.
var (
	errChunkLines = newRefusal(clientbudget.ChunksTooLong, errkind.InvalidRequest, "the chunks or the trailer exceed the size limit")
	errHeadLong   = newRefusal(clientbudget.HeadTooLong, errkind.HeadersTooLarge, "the headers exceed the size limit")
)
