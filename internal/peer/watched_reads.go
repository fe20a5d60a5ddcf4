package peer

import (
	"bytes"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
)

// Len implements network.Reader.
func (c *watchedConn) Len() int { return c.in.size() }

// Peek implements network.Reader.
func (c *watchedConn) Peek(n int) ([]byte, error) {
	// Hertz sends no response if the wait for the first bytes of a request fails, so the request is
	// checked when hertz looks at them again.
	begins := c.phase == phaseAwaiting
	if c.phase == phaseAwaiting && c.in.size() > 0 && !c.beginRequest() {
		return nil, clientbudget.ErrEnded
	}
	if n > 1 {
		c.lineBytes = 0
	}
	// Hertz asks for one byte more than there is, after it has looked at all there is, when the end of
	// a head or trailer is missing.
	c.peeks++
	if c.peeks > 2 && n == c.in.size()+1 && c.phase != phaseHandled {
		if err := c.fillHead(); err != nil {
			return nil, err
		}
	}
	for c.in.size() < n {
		if err := c.fill(n); err != nil {
			return nil, err
		}
	}
	if begins {
		return c.in.unread()[:n], nil
	}
	if c.phase == phaseHead && !c.headChecked {
		c.checkReceivedHead()
	}
	if c.refused != nil && c.phase != phaseHandled {
		return nil, c.refused
	}
	return c.in.unread()[:n], nil
}

// fillHead reads more of a head or trailer, until its end has arrived or it is twice as long. Hertz
// parses it from the beginning each time.
func (c *watchedConn) fillHead() error {
	for before := c.in.size(); c.in.size() < 2*before; {
		if err := c.fill(c.in.size() + 1); err != nil {
			if c.in.size() > before {
				return nil
			}
			return err
		}
		if headOf(c.in.unread()) != nil {
			return nil
		}
		if c.phase == phaseHead && c.in.size() >= c.limits.maxHead {
			return nil // hertz refuses it
		}
	}
	return nil
}

// fill reads once, into a buffer with room for n bytes.
func (c *watchedConn) fill(n int) error {
	if c.in.data == nil {
		// An idle connection has only the buffer of hertz's.
		if _, err := c.Conn.Peek(1); err != nil {
			c.broken = c.phase != phaseHandled
			return err
		}
	}
	if err := c.reserve(n); err != nil {
		return err
	}
	read, err := c.Conn.Read(c.in.free())
	c.in.end += read
	if read == 0 && err != nil {
		c.broken = c.phase != phaseHandled
		return err
	}
	switch {
	case c.phase == phaseAwaiting:
		if !c.beginRequest() {
			return clientbudget.ErrEnded
		}
	case c.held != nil && c.phase != phaseHandled:
		c.held.Received(read)
	}
	return nil
}

// reserve makes room in the buffer for n bytes.
func (c *watchedConn) reserve(n int) error {
	limit, tooLong := maxInputBytes, errChunkLines
	if c.phase == phaseHead {
		limit, tooLong = max(maxInputBytes, 2*c.limits.maxHead), errHeadLong
	}
	capacity := c.in.capacityFor(n)
	if capacity > limit {
		c.refused = tooLong
		return tooLong
	}
	if capacity > unchargedInputBytes && capacity > c.inputHeld {
		if err := c.hold(c.bodyHeld, len(c.in.data)+capacity); err != nil {
			c.refused = c.refusalFor(err)
			return err
		}
		defer func() { _ = c.hold(c.bodyHeld, capacity) }()
	}
	c.in.ensure(n)
	return nil
}

// Skip implements network.Reader. Hertz skips a head at once after it has parsed it.
func (c *watchedConn) Skip(n int) error {
	if c.phase == phaseHead && n > 0 {
		c.headParsed()
	}
	c.in.start += min(n, c.in.size())
	c.peeks = 0
	return nil
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	if c.phase == phaseBody && c.refused != nil {
		return 0, c.refused
	}
	c.peeks = 0
	if c.in.size() > 0 {
		n := copy(p, c.in.unread())
		c.in.start += n
		return n, nil
	}
	n, err := c.Conn.Read(p)
	c.broken = err != nil
	if n > 0 && c.held != nil {
		c.held.Received(n)
	}
	return n, err
}

// ReadByte implements network.Reader. Hertz reads the lines of chunks by single bytes.
func (c *watchedConn) ReadByte() (byte, error) {
	c.lineBytes++
	c.linesBytes++
	if c.lineBytes > maxChunkLineBytes || c.linesBytes > maxChunkLinesBytes {
		c.refused = errChunkLines
		return 0, c.refused
	}
	b, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	first := b[0]
	return first, c.Skip(1)
}

// ReadBinary implements network.Reader.
func (c *watchedConn) ReadBinary(n int) ([]byte, error) {
	p, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(p), c.Skip(n)
}
